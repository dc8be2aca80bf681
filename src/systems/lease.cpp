#include "systems/lease_expiry.h"
#include "systems/systems.h"
#include "systems/worker_link.h"
#include "systems/worker_order.h"

namespace flamingotally
{

namespace
{

constexpr Milliseconds scanInterval{500}; ///< Longest time between two scans for renewals, resends and expired leases.

/** Stops waiting for exchanges whose response the port has not delivered in time, so that new ones can be sent. */
void resetLostExchanges(Node &node, const TickTime &time)
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

/** Drops the links of attempts that have ended. */
void dropEndedAttempts(Node &node)
{
    node.attemptLinks.forEach([&](AttemptLinkRef it) {
        const auto number = node.attemptLinks.get<AttemptLink>(it).attempt;
        if (hasAttemptEnded(node, number)) {
            dropAttemptLink(node, number);
        }
    });
}

/** Sends the orders that are due to this daemon's workers, and proposes the marks and confirmations that are due. */
void scanAttempts(Node &node, const TickTime &time)
{
    OrderCollector orders(node, time);
    LeaseExpiryCollector expiries(node, time);
    node.workerLinks.forEach([&](WorkerLinkRef link) {
        const auto worker = node.workerLinks.get<WorkerLink>(link).worker;
        if (!node.tables.workers.contains(worker) || linkOf(node, worker) != link) {
            return;
        }
        for (const auto it : attemptsOf(node.tables, worker)) {
            orders.addIfDue(it, link);
            expiries.addIfDue(it, link);
        }
    });
    node.workerLinks.forEach([&](WorkerLinkRef it) { orders.stopEndedAttempts(it); });
    expiries.propose();
    orders.send();
}

} // namespace

void leaseSystem(Node &node, const TickTime &time)
{
    if (!selfRef(node).isSet()) {
        return;
    }
    auto &scan = node.leaseScan;
    receiveWorkerReports(node, time);
    updateLinks(node, time);
    const bool isNew = scan.appliedOffset != node.tables.position.nextOffset;
    if (isNew || time.now >= scan.dueAt) {
        scan.appliedOffset = node.tables.position.nextOffset;
        scan.dueAt = time.now + scanInterval;
        resetLostExchanges(node, time);
        dropEndedAttempts(node);
        proposeFromReports(node, time);
        scanAttempts(node, time);
    }
    wakeBy(node, scan.dueAt);
}

} // namespace flamingotally
