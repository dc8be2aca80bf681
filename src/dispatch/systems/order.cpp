#include "dispatch/entry_func.h"
#include "dispatch/lease_expiry.h"
#include "dispatch/systems/systems.h"
#include "dispatch/work_func.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

constexpr Milliseconds idleHold{1'500}; ///< Pause between two looks at a worker that runs nothing.
constexpr Milliseconds unstoredHold{300}; ///< Pause while ends wait to be stored: the worker would answer at once.
constexpr Milliseconds ticketPause{20}; ///< Between two looks for a ticket that is being renewed.
constexpr Milliseconds leaveMargin{
    1'000}; ///< Runs that save their progress are stopped so long before the worker goes.

/** The worker's clock as it is about now; its lease is counted by it. */
WorkerTime clockOf(const WorkerLink &link, const TickTime &time)
{
    return link.clock + (time.now - link.clockReadAt);
}

/**
 * Lease for the next order: extended only while the worker answers, because an order without an answer may extend it
 * unseen.
 */
WorkerTime extendLease(Entry &entry, WorkerLink &link, const TickTime &time)
{
    if (link.silent > 0 || link.clockReadAt == MonotonicTime{}) {
        return link.leaseUntil;
    }
    link.leaseUntil = std::max(link.leaseUntil, clockOf(link, time) + entry.settings.lease);
    judgeLease(link);
    return link.leaseUntil;
}

/** Ticket of a group for a worker; null when there is none that is valid. */
const Ticket *ticketFor(const Entry &entry, GroupRef group, const std::string &worker, const TickTime &time)
{
    const auto &tickets = entry.work.groups.get<GroupAdvice>(group).byWorker;
    const auto it = tickets.find(worker);
    return it != tickets.end() && it->second.validUntil > time.now ? &it->second : nullptr;
}

/**
 * Has the ticket of a placed run renewed.
 * @return False when the worker may not run it.
 */
bool renewTicket(Entry &entry, GroupRef group, const std::string &worker)
{
    auto &advice = entry.work.groups.get<GroupAdvice>(group);
    const auto it = advice.byWorker.find(worker);
    if (it == advice.byWorker.end() || !it->second.granted) {
        return false;
    }
    if (std::ranges::find(advice.expired, worker) == advice.expired.end()) {
        advice.expired.push_back(worker);
    }
    if (std::ranges::find(entry.advice.renewals, group) == entry.advice.renewals.end()) {
        entry.advice.renewals.push_back(group);
    }
    return true;
}

void sendStart(Entry &entry, RunRef run, const TickTime &time)
{
    const auto identity = entry.work.runs.get<RunIdentity>(run);
    auto &link = entry.workers.table.get<WorkerLink>(identity.worker);
    auto &state = entry.work.runs.get<RunState>(run);
    const auto &worker = entry.workers.table.get<WorkerIdentity>(identity.worker);
    const auto group = entry.work.tasks.get<TaskIdentity>(identity.task).group;
    const auto *ticket = ticketFor(entry, group, worker.id, time);
    const bool isTooLate = policyOf(entry, group).advice.required && !ticket;
    if (isTooLate && state.sends == 0) {
        state.sendAt = time.now + ticketPause;
        if (!renewTicket(entry, group, worker.id)) {
            discardRun(entry, run, time);
        }
        return;
    }
    state.inFlight = true;
    ++state.sends;
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
    order.leaseUntil = extendLease(entry, link, time);
    entry.outbox.starts.push_back(std::move(order));
}

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
                                  entry.ownership.token});
}

void orderRun(Entry &entry, RunRef run, const TickTime &time)
{
    auto &state = entry.work.runs.get<RunState>(run);
    const auto stored = entry.writer(JournalWriter::Owner).stored;
    if (state.phase == RunPhase::Planned && state.waitsForBatch <= stored) {
        state.phase = RunPhase::Ordered;
        state.sendAt = time.now;
    }
    const bool isOrder = state.phase == RunPhase::Ordered || (state.phase == RunPhase::Stopping && !state.stopTaken);
    if (!isOrder || state.inFlight) {
        return;
    }
    if (time.now < state.sendAt) {
        entry.wakeBy(state.sendAt);
        return;
    }
    if (state.phase == RunPhase::Ordered) {
        sendStart(entry, run, time);
    } else {
        sendStop(entry, run);
    }
}

void sendHold(Entry &entry, WorkerRef worker, const TickTime &time)
{
    const auto &identity = entry.workers.table.get<WorkerIdentity>(worker);
    const auto &room = entry.workers.table.get<WorkerLoad>(worker);
    auto &link = entry.workers.table.get<WorkerLink>(worker);
    link.inFlight = true;
    PollOrder order;
    order.worker = worker;
    order.id = identity.id;
    order.address = identity.address;
    order.token = entry.ownership.token;
    const bool renews = link.known && !room.runs.empty() && link.silent == 0 && mayOrder(entry, time);
    order.leaseUntil = renews ? extendLease(entry, link, time) : WorkerTime{};
    order.acknowledged = link.endsStored;
    const bool waits = link.known && link.silent == 0 && !room.runs.empty();
    order.wait = waits ? entry.settings.holdWait : Milliseconds{0};
    entry.outbox.holds.push_back(std::move(order));
}

void countStored(Entry &entry, WorkerLink &link)
{
    const auto stored = entry.writer(JournalWriter::Owner).stored;
    while (!link.pendingEnds.empty() && link.pendingEnds.front().batch <= stored) {
        link.endsStored = link.pendingEnds.front().number;
        link.pendingEnds.pop_front();
    }
}

/** When the next hold of a worker is due. */
MonotonicTime holdDueAt(const Entry &entry, WorkerRef worker)
{
    const auto &link = entry.workers.table.get<WorkerLink>(worker);
    if (!link.known || link.silent > 0) {
        return link.holdAt;
    }
    if (!link.pendingEnds.empty()) {
        return link.heardAt + unstoredHold;
    }
    const auto &room = entry.workers.table.get<WorkerLoad>(worker);
    const bool isIdle = room.runs.empty() && link.endsSeen == link.endsAcknowledged;
    return isIdle ? std::max(link.holdAt, link.heardAt + idleHold) : link.holdAt;
}

/** Ends what a silent worker cannot run any longer. */
void endLapsed(Entry &entry, WorkerRef worker, const TickTime &time)
{
    const auto runs = entry.workers.table.get<WorkerLoad>(worker).runs;
    for (const auto run : runs) {
        if (!entry.work.runs.contains(run)) {
            continue;
        }
        const auto &state = entry.work.runs.get<RunState>(run);
        const bool wasSent = state.sends > 0 || state.phase == RunPhase::Unverified;
        if (wasSent) {
            ++entry.counters.lostRuns;
            logEvent(entry,
                     EventKind::RunLost,
                     nameOf(entry, entry.work.runs.get<RunIdentity>(run).task).job,
                     "worker={} cause=\"its lease is over\" silent_ms={}",
                     entry.workers.table.get<WorkerIdentity>(worker).id,
                     (time.now - entry.workers.table.get<WorkerLink>(worker).heardAt).count());
            endRun(entry, run, RunEnd::LeaseExpired, {}, time);
        } else {
            discardRun(entry, run, time);
        }
    }
}

/** Stops what runs on a worker that is about to leave, so that it can go on elsewhere. */
void emptyLeaving(Entry &entry, WorkerRef worker, const TickTime &time)
{
    const auto leavesAt = entry.workers.table.get<WorkerHealth>(worker).leavesAt;
    entry.wakeBy(std::max(time.now + Milliseconds{50}, leavesAt - leaveMargin));
    const auto runs = entry.workers.table.get<WorkerLoad>(worker).runs;
    for (const auto run : runs) {
        if (!entry.work.runs.contains(run)) {
            continue;
        }
        const auto task = entry.work.runs.get<RunIdentity>(run).task;
        const auto &step = stepOf(entry, entry.work.tasks.get<TaskIdentity>(task).group);
        const auto margin = step.checkpoints || step.endless ? leaveMargin : Milliseconds{0};
        if (time.now + margin >= leavesAt) {
            stopRun(entry, run, time);
        }
    }
}

} // namespace

void leaseSystem(Entry &entry, const TickTime &time)
{
    if (!entry.isOwner()) {
        return;
    }
    entry.workers.table.forEach([&](WorkerRef worker) {
        if (entry.workers.table.get<WorkerLoad>(worker).runs.empty()) {
            return;
        }
        const auto &link = entry.workers.table.get<WorkerLink>(worker);
        if ((link.silent > 0 || !link.known) && time.now > link.leaseOverAt) {
            endLapsed(entry, worker, time);
        } else if (entry.workers.table.get<WorkerHealth>(worker).draining) {
            emptyLeaving(entry, worker, time);
        }
    });
}

void orderSystem(Entry &entry, const TickTime &time)
{
    if (!entry.isOwner()) {
        return;
    }
    const bool isAllowed = mayStart(entry, time);
    entry.work.runs.forEach([&](RunRef run) {
        if (isAllowed || entry.work.runs.get<RunState>(run).phase == RunPhase::Stopping) {
            orderRun(entry, run, time);
        }
    });
}

void holdSystem(Entry &entry, const TickTime &time)
{
    if (!entry.isOwner()) {
        return;
    }
    entry.workers.table.forEach([&](WorkerRef worker) {
        auto &link = entry.workers.table.get<WorkerLink>(worker);
        countStored(entry, link);
        if (link.inFlight || entry.workers.table.get<WorkerIdentity>(worker).address.empty()) {
            return;
        }
        const auto dueAt = holdDueAt(entry, worker);
        if (time.now < dueAt) {
            entry.wakeBy(dueAt);
            return;
        }
        link.endsAcknowledged = link.endsStored;
        sendHold(entry, worker, time);
    });
}

} // namespace flamingotally::dispatch
