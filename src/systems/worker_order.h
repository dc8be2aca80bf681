/** @file worker_order.h Orders to workers: starts, renewals, stops, and the exchanges that carry them. */
#pragma once

#include "node_func.h"

#include <vector>

namespace flamingotally
{

/** Orders of one tick, collected for each worker. */
class OrderBook
{
public:
    OrderBook(Node &node, const TickTime &time);

    /** Adds what an attempt needs: a start, a renewal, a stop, or nothing. */
    void consider(AttemptRef attempt, WorkerLinkRef ref);

    /** Stops what runs at a worker although it is over. */
    void stopStrays(WorkerLinkRef ref);

    /** Sends all orders, and keeps one exchange that waits under way with each worker. */
    void send();

private:
    WorkerSync &syncOf(WorkerLinkRef ref);
    void orderStart(AttemptRef attempt, const WorkerLink &link, AttemptLink &row, WorkerSync &sync);
    void orderRevocation(AttemptRef attempt, AttemptLink &row, WorkerSync &sync);
    void orderRenewal(AttemptRef attempt, const WorkerLink &link, AttemptLink &row, WorkerSync &sync);
    void orderStop(AttemptRef attempt, AttemptLink &row, WorkerSync &sync);
    void sendOrders(WorkerLink &link, WorkerSync &sync);
    void sendPoll(WorkerLink &link);

    Node &m_node;
    TickTime m_time;
    std::vector<WorkerSync> m_syncs; ///< By index of the line.
};

} // namespace flamingotally
