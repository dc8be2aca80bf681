#include "dispatch/crash_func.h"
#include "dispatch/entry_func.h"
#include "dispatch/lease_expiry.h"
#include "dispatch/policy/order_pacing.h"
#include "dispatch/systems/systems.h"
#include "dispatch/work_func.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Pause before the next poll of a worker that runs nothing and whose run ends have all been acknowledged. */
constexpr Milliseconds idlePollPause{1'500};
/**
 * Pause before the next poll of a worker while reported run ends are not stored yet. Until they are acknowledged, the
 * worker responds to every poll immediately, so polls without a pause would follow each other without end.
 */
constexpr Milliseconds pendingEndsPollPause{300};
/** Pause before the next poll of a worker whose only runs are stray, as their stop orders may have been lost. */
constexpr Milliseconds strayRunPollPause{300};
constexpr Milliseconds ticketPause{20}; ///< Pause before the next check whether a placed run's ticket has been renewed.
/** Runs that save checkpoints and endless runs are stopped this long before their worker may be removed. */
constexpr Milliseconds removalMargin{1'000};
constexpr Milliseconds pollMargin{300}; ///< Time for a poll's response over an idle link, beyond the worker's wait.
constexpr int congestedWaitFactor = 3; ///< Factor of the wait of polls over a congested link, so that there are fewer.

/** Returns the estimated current reading of the worker's clock. The expiry of its lease is measured on that clock. */
WorkerTime estimatedClock(const WorkerLink &link, const TickTime &time)
{
    return link.clock + (time.now - link.clockReadAt);
}

/**
 * Returns true if a silent worker is probably alive: it is listed, and this host's own link is in doubt. Then its
 * leases are renewed, and its runs are kept, as it may still report that they are done.
 */
bool mayStillReport(const Entry &entry, WorkerRef worker, const TickTime &time)
{
    return entry.workers.table.get<WorkerHealth>(worker).listed && isLinkInDoubt(entry, time);
}

/**
 * Returns the lease expiry to send with the next order, by the worker's clock. The expiry is moved forward only if the
 * worker's clock is known, and the last poll got a response or this host's own link is in doubt. Otherwise it stays as
 * it is, so that the runs of a lost worker are known to have ended soon.
 */
WorkerTime leaseForNextOrder(Entry &entry, WorkerRef worker, const TickTime &time)
{
    auto &link = entry.workers.table.get<WorkerLink>(worker);
    const bool isTrusted = link.missedPolls == 0 || mayStillReport(entry, worker, time);
    if (!isTrusted || link.clockReadAt == MonotonicTime{}) {
        return link.latestLeaseUntil;
    }
    link.latestLeaseUntil = std::max(link.latestLeaseUntil, estimatedClock(link, time) + entry.settings.lease);
    updateLeaseExpiry(link);
    return link.latestLeaseUntil;
}

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
    order.timeout = orderTimeout(entry.workers.pacing, entry.settings.orderTimeout);
    entry.outbox.starts.push_back(std::move(order));
}

/** Adds a stop order to the outbox. */
void sendStop(Entry &entry, RunRef run)
{
    const auto &identity = entry.work.runs.get<RunIdentity>(run);
    const auto &worker = entry.workers.table.get<WorkerIdentity>(identity.worker);
    entry.work.runs.get<RunState>(run).inFlight = true;
    entry.outbox.stops.push_back({run,
                                  identity.worker,
                                  nameOf(entry, identity.task),
                                  identity.number,
                                  worker.id,
                                  worker.address,
                                  entry.ownership.token,
                                  orderTimeout(entry.workers.pacing, entry.settings.orderTimeout)});
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

    auto key() const
    {
        return std::pair(isStart, since);
    }
};

/** Sends due orders in their order, as far as the window allows. */
void sendDueOrders(Entry &entry, std::vector<DueOrder> &due, std::size_t inFlight, const TickTime &time)
{
    auto &pacing = entry.workers.pacing;
    const std::size_t allowed = pacing.window > inFlight ? pacing.window - inFlight : 0;
    if (due.size() > allowed) {
        std::ranges::sort(due, {}, &DueOrder::key);
    }
    const auto n = std::min(due.size(), allowed);
    pacing.ordersWaiting = due.size() - n;
    for (std::size_t i = 0; i < n; ++i) {
        const auto run = due[i].run;
        if (!entry.work.runs.contains(run)) {
            continue; // discarded with its gang by an earlier order of the loop
        }
        if (entry.work.runs.get<RunState>(run).phase == RunPhase::Ordered) {
            startIfRoom(entry, run, time);
        } else {
            sendStop(entry, run);
        }
    }
}

/** Returns how long a worker may wait for the end of a run before it answers a poll. */
Milliseconds pollWait(const Entry &entry, const TickTime &time)
{
    const auto wait = entry.settings.pollWait;
    return wasCongested(entry.workers.pacing, time.now) ? wait * congestedWaitFactor : wait;
}

/**
 * Adds a poll to the outbox. The poll renews the lease if ownership is certain, the worker has runs, and it responds or
 * this host's own link is in doubt.
 */
void sendPoll(Entry &entry, WorkerRef worker, const TickTime &time)
{
    const auto &identity = entry.workers.table.get<WorkerIdentity>(worker);
    const auto &load = entry.workers.table.get<WorkerLoad>(worker);
    auto &link = entry.workers.table.get<WorkerLink>(worker);
    link.inFlight = true;
    PollOrder order;
    order.worker = worker;
    order.id = identity.id;
    order.address = identity.address;
    order.token = entry.ownership.token;
    const bool isTrusted = link.missedPolls == 0 || mayStillReport(entry, worker, time);
    const bool isRenewal = link.hasResponded && !load.runs.empty() && isTrusted && isCertainOwner(entry, time);
    order.leaseUntil = isRenewal ? leaseForNextOrder(entry, worker, time) : WorkerTime{};
    order.acknowledged = link.lastEndStored;
    const bool mayWait = link.hasResponded && link.missedPolls == 0 && !load.runs.empty();
    order.wait = mayWait ? pollWait(entry, time) : Milliseconds{0};
    order.timeout = order.wait + orderTimeout(entry.workers.pacing, pollMargin);
    entry.outbox.polls.push_back(std::move(order));
}

/** Removes the pending run ends whose batches have been stored, so that the next poll acknowledges them. */
void updateStoredEnds(Entry &entry, WorkerLink &link)
{
    const auto stored = entry.writer(JournalWriter::Owner).batchesStored;
    while (!link.pendingEnds.empty() && link.pendingEnds.front().batch != 0
           && link.pendingEnds.front().batch <= stored) {
        link.lastEndStored = link.pendingEnds.front().number;
        link.pendingEnds.pop_front();
    }
}

/** Returns when the next poll of a worker is due. */
MonotonicTime pollDueAt(const Entry &entry, WorkerRef worker)
{
    const auto &link = entry.workers.table.get<WorkerLink>(worker);
    if (!link.hasResponded || link.missedPolls > 0) {
        return link.pollAt;
    }
    if (!link.pendingEnds.empty()) {
        return link.lastResponseAt + pendingEndsPollPause;
    }
    const auto &load = entry.workers.table.get<WorkerLoad>(worker);
    if (load.runs.empty() && link.hasStrayRuns) {
        return link.lastResponseAt + strayRunPollPause;
    }
    const bool isIdle = load.runs.empty() && link.lastEndApplied == link.lastEndAcknowledged;
    return isIdle ? std::max(link.pollAt, link.lastResponseAt + idlePollPause) : link.pollAt;
}

/** Ends the runs of a worker whose lease has expired if their starts may have arrived, and discards the others. */
void endExpiredRuns(Entry &entry, WorkerRef worker, const TickTime &time)
{
    rememberSuspects(entry, worker, time);
    const auto runs = entry.workers.table.get<WorkerLoad>(worker).runs;
    for (const auto run : runs) {
        if (!entry.work.runs.contains(run)) {
            continue;
        }
        const auto &state = entry.work.runs.get<RunState>(run);
        const bool mayHaveStarted = state.startsSent > 0 || state.phase == RunPhase::Unverified;
        if (mayHaveStarted) {
            ++entry.counters.lostRuns;
            logEvent(entry,
                     EventKind::RunLost,
                     nameOf(entry, entry.work.runs.get<RunIdentity>(run).task).job,
                     "worker={} cause=\"lease expired\" silent_ms={}",
                     entry.workers.table.get<WorkerIdentity>(worker).id,
                     (time.now - entry.workers.table.get<WorkerLink>(worker).lastResponseAt).count());
            endRun(entry, run, RunEnd::LeaseExpired, {}, time);
        } else {
            discardRun(entry, run, time);
        }
    }
}

/**
 * Stops the runs of a draining worker when it is about to be removed, so that their tasks continue elsewhere. Runs that
 * save checkpoints and endless runs are stopped `removalMargin` earlier than the others.
 */
void stopRunsBeforeRemoval(Entry &entry, WorkerRef worker, const TickTime &time)
{
    const auto earliestRemovalAt = entry.workers.table.get<WorkerHealth>(worker).earliestRemovalAt;
    entry.wakeBy(std::max(time.now + Milliseconds{50}, earliestRemovalAt - removalMargin));
    const auto runs = entry.workers.table.get<WorkerLoad>(worker).runs;
    for (const auto run : runs) {
        if (!entry.work.runs.contains(run)) {
            continue;
        }
        const auto task = entry.work.runs.get<RunIdentity>(run).task;
        const auto &step = stepOf(entry, entry.work.tasks.get<TaskIdentity>(task).group);
        const auto margin = step.savesCheckpoints || step.endless ? removalMargin : Milliseconds{0};
        if (time.now + margin >= earliestRemovalAt) {
            stopRun(entry, run, time);
        }
    }
}

/** Counts the listed workers and those of them that are silent. */
WorkerSilence countSilence(const Entry &entry)
{
    WorkerSilence sum;
    entry.workers.table.forEach([&](WorkerRef worker) {
        if (!entry.workers.table.get<WorkerHealth>(worker).listed) {
            return;
        }
        const bool isSilent = entry.workers.table.get<WorkerLink>(worker).missedPolls > 0;
        const bool isOwn = entry.workers.table.get<WorkerIdentity>(worker).domain == entry.settings.domain;
        sum.listed += 1;
        sum.silent += isSilent ? 1 : 0;
        sum.listedInOwnDomain += isOwn ? 1 : 0;
        sum.silentInOwnDomain += isOwn && isSilent ? 1 : 0;
    });
    return sum;
}

} // namespace

void leaseSystem(Entry &entry, const TickTime &time)
{
    if (!entry.isOwner()) {
        return;
    }
    entry.workers.silence = countSilence(entry);
    entry.workers.table.forEach([&](WorkerRef worker) {
        if (entry.workers.table.get<WorkerLoad>(worker).runs.empty()) {
            return;
        }
        const auto &link = entry.workers.table.get<WorkerLink>(worker);
        if ((link.missedPolls > 0 || !link.hasResponded) && time.now > link.leaseExpiresAt) {
            if (!mayStillReport(entry, worker, time)) {
                endExpiredRuns(entry, worker, time);
            }
        } else if (entry.workers.table.get<WorkerHealth>(worker).draining) {
            stopRunsBeforeRemoval(entry, worker, time);
        }
    });
}

void orderSystem(Entry &entry, const TickTime &time)
{
    if (!entry.isOwner()) {
        return;
    }
    const bool isAllowed = mayStart(entry, time);
    std::vector<DueOrder> due;
    std::size_t inFlight = 0;
    entry.work.runs.forEach([&](RunRef run) {
        const auto &state = entry.work.runs.get<RunState>(run);
        inFlight += state.inFlight ? 1 : 0;
        if ((isAllowed || state.phase == RunPhase::Stopping) && isOrderDue(entry, run, time)) {
            due.push_back({state.phase == RunPhase::Ordered, state.sendAt, run});
        }
    });
    sendDueOrders(entry, due, inFlight, time);
}

void pollSystem(Entry &entry, const TickTime &time)
{
    if (!entry.isOwner()) {
        return;
    }
    entry.workers.table.forEach([&](WorkerRef worker) {
        auto &link = entry.workers.table.get<WorkerLink>(worker);
        updateStoredEnds(entry, link);
        if (link.inFlight || entry.workers.table.get<WorkerIdentity>(worker).address.empty()) {
            return;
        }
        const auto dueAt = pollDueAt(entry, worker);
        if (time.now < dueAt) {
            entry.wakeBy(dueAt);
            return;
        }
        link.lastEndAcknowledged = link.lastEndStored;
        sendPoll(entry, worker, time);
    });
}

} // namespace flamingotally::dispatch
