/**
 * @file lease_expiry.h Expires the leases of attempts on unreachable workers in two steps: an attempt is marked as
 * lapsing, and after a wait the expiry of its lease is confirmed.
 */
#pragma once

#include "node_func.h"

namespace flamingotally
{

/** Collects the lapsing marks and the confirmations of one tick. */
class LeaseExpiryCollector
{
public:
    LeaseExpiryCollector(Node &node, const TickTime &time) : m_node(node), m_time(time)
    {
    }

    /** Adds a mark or a confirmation for an attempt if one is due. */
    void addIfDue(AttemptRef attempt, WorkerLinkRef ref);

    /** Proposes the collected marks and confirmations. */
    void propose();

private:
    void collectMark(AttemptRef attempt, const WorkerLink &link);
    void collectConfirmation(AttemptRef attempt, AttemptLink &row);

    Node &m_node;
    TickTime m_time;
    MarkLapsing m_marks;
    ConfirmLapsed m_confirmations;
};

} // namespace flamingotally
