#include "dispatch/entry_func.h"
#include "dispatch/lease_renewal.h"
#include "dispatch/policy/order_pacing.h"
#include "dispatch/region_link.h"
#include "dispatch/systems/systems.h"
#include "dispatch/work_func.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

constexpr Milliseconds ticketPause{20}; ///< Pause before the next check whether a placed run's ticket has been renewed.

/** Returns the ticket that allows a worker to run the tasks of a group; null when there is no valid one. */
const Ticket *ticketFor(const Entry &entry, GroupRef group, WorkerRef worker, const TickTime &time)
{
    const auto &tickets = entry.work.groups.get<GroupAdvice>(group).tickets;
    const auto it = tickets.find(worker);
    return it != tickets.end() && it->second.validUntil > time.now ? &it->second : nullptr;
}

/**
 * Queues a request to renew the ticket that allows a worker to run the tasks of a group.
 * @return False when the group has no granted ticket for the worker, valid or expired, so that nothing was queued.
 */
bool queueTicketRenewal(Entry &entry, GroupRef group, WorkerRef worker)
{
    auto &advice = entry.work.groups.get<GroupAdvice>(group);
    const auto it = advice.tickets.find(worker);
    if (it == advice.tickets.end() || !it->second.granted) {
        return false;
    }
    if (std::ranges::find(advice.workersToRenew, worker) == advice.workersToRenew.end()) {
        advice.workersToRenew.push_back(worker);
    }
    if (std::ranges::find(entry.advice.renewals, group) == entry.advice.renewals.end()) {
        entry.advice.renewals.push_back(group);
    }
    return true;
}

/**
 * Adds a start order to the outbox. The first order of a run that lacks a required ticket is postponed until the ticket
 * is renewed; the run is discarded when there is no ticket to renew.
 */
void sendStart(Entry &entry, RunRef run, const TickTime &time)
{
    const auto identity = entry.work.runs.get<RunIdentity>(run);
    auto &state = entry.work.runs.get<RunState>(run);
    const auto &worker = entry.workers.table.get<WorkerIdentity>(identity.worker);
    const auto group = entry.work.tasks.get<TaskIdentity>(identity.task).group;
    const auto *ticket = ticketFor(entry, group, identity.worker, time);
    const bool lacksTicket = policyOf(entry, group).advice.required && !ticket;
    if (lacksTicket && state.startsSent == 0) {
        state.sendAt = time.now + ticketPause;
        if (!queueTicketRenewal(entry, group, identity.worker)) {
            discardRun(entry, run, time);
        }
        return;
    }
    state.inFlight = true;
    state.firstSentAt = state.startsSent++ == 0 ? time.now : state.firstSentAt;
    const auto job = entry.work.groups.get<GroupIdentity>(group).job;
    StartOrder order;
    order.run = run;
    order.task = nameOf(entry, identity.task);
    order.number = identity.number;
    order.id = worker.id;
    order.address = worker.address;
    order.payload = entry.jobs.table.get<JobPlan>(job).spec.payload;
    order.checkpoint = entry.work.tasks.get<TaskState>(identity.task).checkpoint;
    order.ticket = ticket ? ticket->text : std::string();
    order.token = entry.ownership.token;
    order.leaseUntil = leaseForNextOrder(entry, identity.worker, time);
    order.timeout = orderTimeout(linkOf(entry.workers, identity.worker).pacing, entry.settings.orderTimeout);
    entry.outbox.starts.push_back(std::move(order));
}

/** Adds a stop order to the outbox. */
void sendStop(Entry &entry, RunRef run)
{
    const auto &identity = entry.work.runs.get<RunIdentity>(run);
    const auto &worker = entry.workers.table.get<WorkerIdentity>(identity.worker);
    entry.work.runs.get<RunState>(run).inFlight = true;
    entry.outbox.stops.push_back(
        {run,
         identity.worker,
         nameOf(entry, identity.task),
         identity.number,
         worker.id,
         worker.address,
         entry.ownership.token,
         orderTimeout(linkOf(entry.workers, identity.worker).pacing, entry.settings.orderTimeout)});
}

/** Returns true if a run needs a start or stop order now: none is in flight, and the pause after the last has passed.
 */
bool isOrderDue(Entry &entry, RunRef run, const TickTime &time)
{
    auto &state = entry.work.runs.get<RunState>(run);
    const auto stored = entry.writer(JournalWriter::Owner).batchesStored;
    if (state.phase == RunPhase::Planned && state.waitsForBatch <= stored) {
        state.phase = RunPhase::Ordered;
        state.storedAt = time.now;
        state.sendAt = time.now;
    }
    const bool needsOrder =
        state.phase == RunPhase::Ordered || (state.phase == RunPhase::Stopping && !state.stopAccepted);
    if (!needsOrder || state.inFlight) {
        return false;
    }
    if (time.now < state.sendAt) {
        entry.wakeBy(state.sendAt);
        return false;
    }
    return true;
}

/**
 * Returns true if a worker has room for a run beside all others that may be there, by the capacity last listed. Runs
 * that are being stopped count; runs for which no start order was sent do not.
 */
bool hasRoom(const Entry &entry, RunRef run)
{
    const auto worker = entry.work.runs.get<RunIdentity>(run).worker;
    auto used = entry.work.runs.get<RunState>(run).reservedOnWorker;
    for (const auto other : entry.workers.table.get<WorkerLoad>(worker).runs) {
        const auto &state = entry.work.runs.get<RunState>(other);
        if (other != run && state.firstSentAt != MonotonicTime{}) {
            used += state.reservedOnWorker;
        }
    }
    return used.fitsInto(entry.workers.table.get<WorkerIdentity>(worker).capacity);
}

/**
 * Sends a start order, unless the worker's capacity has shrunk since the run was placed so that it has no room. Then
 * the task waits for another placement; a run whose start may have arrived is stopped first.
 */
void startIfRoom(Entry &entry, RunRef run, const TickTime &time)
{
    if (hasRoom(entry, run)) {
        sendStart(entry, run, time);
    } else if (entry.work.runs.get<RunState>(run).startsSent > 0) {
        stopRun(entry, run, time);
    } else {
        discardRun(entry, run, time);
    }
}

/** An order that is due. Stops sort first, as they free capacity, then those that have been due for longest. */
struct DueOrder {
    bool isStart = false;
    MonotonicTime since{};
    RunRef run;
    std::uint32_t region = 0; ///< Index into Workers::regions.

    auto key() const
    {
        return std::pair(isStart, since);
    }
};

/** Orders in flight. */
struct OrdersInFlight {
    std::vector<std::size_t> byRegion; ///< By the index into Workers::regions.
    absl::flat_hash_map<WorkerRef, std::uint32_t> byWorker;
};

/** Sends due orders in their order, as far as the window of each region and the limit of each worker allow. */
void sendDueOrders(Entry &entry, std::vector<DueOrder> &due, OrdersInFlight &inFlight, const TickTime &time)
{
    std::ranges::sort(due, {}, &DueOrder::key);
    for (auto &it : entry.workers.regions) {
        it.pacing.ordersWaiting = 0;
    }
    for (const auto &it : due) {
        auto &pacing = entry.workers.regions[it.region].pacing;
        auto &inRegion = inFlight.byRegion[it.region];
        ++pacing.ordersWaiting; // until it is sent
        if (inRegion >= pacing.window) {
            continue;
        }
        if (!entry.work.runs.contains(it.run)) {
            ++inRegion; // discarded with its gang by an earlier order of the loop
            --pacing.ordersWaiting;
            continue;
        }
        auto &toWorker = inFlight.byWorker[entry.work.runs.get<RunIdentity>(it.run).worker];
        if (toWorker == order_pacing::maxInFlightPerWorker) {
            continue;
        }
        ++toWorker;
        ++inRegion;
        --pacing.ordersWaiting;
        if (entry.work.runs.get<RunState>(it.run).phase == RunPhase::Ordered) {
            startIfRoom(entry, it.run, time);
        } else {
            sendStop(entry, it.run);
        }
    }
}

} // namespace

void orderSystem(Entry &entry, const TickTime &time)
{
    if (!entry.isOwner()) {
        return;
    }
    const bool isAllowed = mayStart(entry, time);
    std::vector<DueOrder> due;
    OrdersInFlight inFlight;
    inFlight.byRegion.resize(entry.workers.regions.size());
    entry.work.runs.forEach([&](RunRef run) {
        const auto &state = entry.work.runs.get<RunState>(run);
        const auto worker = entry.work.runs.get<RunIdentity>(run).worker;
        const auto region = entry.workers.table.get<WorkerIdentity>(worker).region;
        if (state.inFlight) {
            ++inFlight.byRegion[region];
            ++inFlight.byWorker[worker];
        }
        if ((isAllowed || state.phase == RunPhase::Stopping) && isOrderDue(entry, run, time)) {
            due.push_back({state.phase == RunPhase::Ordered, state.sendAt, run, region});
        }
    });
    sendDueOrders(entry, due, inFlight, time);
}

} // namespace flamingotally::dispatch
