/** @file worker_order.h Sends start, renewal and stop orders to workers, and long polls for their reports. */
#pragma once

#include "node_func.h"

#include <vector>

namespace flamingotally
{

/** Collects the orders of one tick for each worker and sends them. */
class OrderCollector
{
public:
    OrderCollector(Node &node, const TickTime &time);

    /**
     * Adds the order that an attempt needs now, if any: a start, a revocation (a stop that applies only before the
     * start), a renewal or a stop.
     */
    void addIfDue(AttemptRef attempt, WorkerLinkRef ref);

    /** Adds stop orders for attempts that a worker reports as running although the tables show that they have ended. */
    void stopEndedAttempts(WorkerLinkRef ref);

    /**
     * Sends all orders, and keeps one long poll in progress with each reachable worker. Sends an exchange without
     * orders to a worker that is not known to be reachable, when its backoff has passed.
     */
    void send();

private:
    WorkerSync &syncOf(WorkerLinkRef ref);
    void addStart(AttemptRef attempt, const WorkerLink &link, AttemptLink &row, WorkerSync &sync);
    void addRevocation(AttemptRef attempt, AttemptLink &row, WorkerSync &sync);
    void addRenewal(AttemptRef attempt, const WorkerLink &link, AttemptLink &row, WorkerSync &sync);
    void addStop(AttemptRef attempt, AttemptLink &row, WorkerSync &sync);
    void sendOrders(WorkerLink &link, WorkerSync &sync);
    void sendPoll(WorkerLink &link);

    Node &m_node;
    TickTime m_time;
    std::vector<WorkerSync> m_syncs; ///< By link index.
};

} // namespace flamingotally
