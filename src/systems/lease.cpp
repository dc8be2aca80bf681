#include "systems/lapse.h"
#include "systems/systems.h"
#include "systems/worker_link.h"
#include "systems/worker_order.h"

namespace flamingotally
{

namespace
{

constexpr Milliseconds scanInterval{500}; ///< Renewals, repeats and lapses are judged at least this often.

/** Frees exchanges whose answer the port has failed to give. */
void dropLostExchanges(Node &node, const TickTime &time)
{
    const auto &settings = node.settings;
    node.workerLinks.forEach([&](WorkerLinkRef it) {
        auto &link = node.workerLinks.get<WorkerLink>(it);
        if (link.ordersInFlight && time.now > link.orderedAt + 2 * settings.workerTimeout) {
            link.ordersInFlight = false;
        }
        if (link.pollInFlight && time.now > link.polledAt + settings.workerPoll + 2 * settings.workerTimeout) {
            link.pollInFlight = false;
        }
    });
}

/** Drops what is known of attempts that are over. */
void dropOverAttempts(Node &node)
{
    node.attemptLinks.forEach([&](AttemptLinkRef it) {
        const auto number = node.attemptLinks.get<AttemptLink>(it).attempt;
        if (isOver(node, number)) {
            dropAttemptLink(node, number);
        }
    });
}

void scanAttempts(Node &node, const TickTime &time)
{
    OrderBook orders(node, time);
    LapseCollector lapses(node, time);
    node.workerLinks.forEach([&](WorkerLinkRef link) {
        const auto worker = node.workerLinks.get<WorkerLink>(link).worker;
        if (!node.tables.workers.contains(worker) || linkOf(node, worker) != link) {
            return;
        }
        for (const auto it : attemptsOf(node.tables, worker)) {
            orders.consider(it, link);
            lapses.consider(it, link);
        }
    });
    node.workerLinks.forEach([&](WorkerLinkRef it) { orders.stopStrays(it); });
    lapses.propose();
    orders.send();
}

} // namespace

void leaseSystem(Node &node, const TickTime &time)
{
    if (!selfRef(node).isSet()) {
        return;
    }
    auto &scan = node.leaseScan;
    takeWorkerReports(node, time);
    keepLinks(node, time);
    const bool isNew = scan.appliedOffset != node.tables.position.nextOffset;
    if (isNew || time.now >= scan.dueAt) {
        scan.appliedOffset = node.tables.position.nextOffset;
        scan.dueAt = time.now + scanInterval;
        dropLostExchanges(node, time);
        dropOverAttempts(node);
        proposeFromReports(node, time);
        scanAttempts(node, time);
    }
    wakeBy(node, scan.dueAt);
}

} // namespace flamingotally
