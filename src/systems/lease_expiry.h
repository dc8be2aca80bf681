/** @file lease_expiry.h Ending attempts whose worker cannot be reached: a mark first, the confirmation after a wait. */
#pragma once

#include "node_func.h"

namespace flamingotally
{

/** Collects the marks and confirmations of one tick. */
class LapseCollector
{
public:
    LapseCollector(Node &node, const TickTime &time) : m_node(node), m_time(time)
    {
    }

    /** Judges whether an attempt is to be marked or confirmed now. */
    void consider(AttemptRef attempt, WorkerLinkRef ref);

    /** Proposes what was collected. */
    void propose();

private:
    void considerMark(AttemptRef attempt, const WorkerLink &link);
    void considerConfirmation(AttemptRef attempt, AttemptLink &row);

    Node &m_node;
    TickTime m_time;
    MarkLapsing m_marks;
    ConfirmLapsed m_confirmations;
};

} // namespace flamingotally
