#include "dispatch/entry_func.h"
#include "dispatch/lease_expiry.h"
#include "dispatch/systems/systems.h"
#include "dispatch/table/dispatch_table.h"
#include "dispatch/work_func.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

constexpr Milliseconds afterSilence{250}; ///< Next hold after one that went without an answer.
constexpr Milliseconds resendPause{20}; ///< A repeated order is harmless, and the lost one may be carried out late.
constexpr Milliseconds unsentPause{150}; ///< After an order that did not leave this host.
constexpr Milliseconds healthPause{2'000}; ///< A worker that calls itself unhealthy is left alone.
constexpr Milliseconds failingPause{6'000}; ///< A worker on which everything fails is left alone.
constexpr Milliseconds fullPause{300};
constexpr Milliseconds stallLimit{1'500}; ///< A run that has not moved for so long stands still...
constexpr int stallPart = 4; ///< ... or for such a part of its estimate, whichever is longer.
constexpr Milliseconds stalledPause{3'000}; ///< A worker on which a run stands still is left alone.
constexpr std::uint32_t failuresInRow = 3; ///< Runs that fail in a row on a worker before it counts as failing.
constexpr std::uint32_t maxSends = 6; ///< Starts sent without an answer before the run is given up.
constexpr std::uint32_t silentHolds = 2; ///< Holds without an answer before a worker counts as silent.
constexpr RunNumber numberSkip = 16; ///< Skipped when a worker has seen higher numbers of a task.

void noteOutcome(Entry &entry, WorkerRef worker, RunEnd how, const TickTime &time)
{
    auto &health = entry.workers.table.get<WorkerHealth>(worker);
    if (how == RunEnd::Done) {
        health.failedInRow = 0;
    } else if (how == RunEnd::Failed && ++health.failedInRow >= failuresInRow) {
        health.avoidUntil = time.now + failingPause;
        health.failedInRow = failuresInRow - 1;
    }
}

/** A worker has started again: nothing of its earlier life runs. */
void beginLife(Entry &entry, WorkerRef worker, std::uint64_t incarnation, const TickTime &time)
{
    auto &link = entry.workers.table.get<WorkerLink>(worker);
    const bool isReborn = link.incarnation != 0;
    link.incarnation = incarnation;
    link.endsSeen = 0;
    link.endsStored = 0;
    link.endsAcknowledged = 0;
    link.pendingEnds.clear();
    if (!isReborn) {
        return;
    }
    link.leaseUntil = {};
    logEvent(entry, EventKind::WorkerReborn, 0, "worker={}", entry.workers.table.get<WorkerIdentity>(worker).id);
    const auto runs = entry.workers.table.get<WorkerLoad>(worker).runs;
    for (const auto run : runs) {
        if (entry.work.runs.contains(run) && entry.work.runs.get<RunState>(run).phase == RunPhase::Running) {
            endRun(entry, run, RunEnd::LeaseExpired, {}, time);
        }
    }
}

/** Run of ours that a row names; unset when there is none. */
RunRef findRun(const Entry &entry, WorkerRef worker, const TaskName &task, RunNumber number)
{
    const auto it = entry.work.runByTask.find(task);
    if (it == entry.work.runByTask.end()) {
        return {};
    }
    const auto &identity = entry.work.runs.get<RunIdentity>(it->second);
    return identity.worker == worker && identity.number == number ? it->second : RunRef{};
}

void stopStray(Entry &entry, WorkerRef worker, const RunningRow &row)
{
    const auto &identity = entry.workers.table.get<WorkerIdentity>(worker);
    logEvent(entry, EventKind::StrayRun, row.task.job, "worker={} run={}", identity.id, row.run);
    entry.outbox.stops.push_back({{}, worker, row.task, row.run, identity.id, identity.address, entry.ownership.token});
}

/** Notes how far a run is. */
void noteProgress(RunState &state, const RunningRow &row, MonotonicTime at)
{
    if (state.percent != row.percent) {
        state.percent = row.percent;
        state.movedAt = at;
    }
}

/** Tells whether a run that should move on its own has stood still for long. */
bool isStalled(const Entry &entry, RunRef run, MonotonicTime at)
{
    const auto &state = entry.work.runs.get<RunState>(run);
    const auto task = entry.work.runs.get<RunIdentity>(run).task;
    const auto &step = stepOf(entry, entry.work.tasks.get<TaskIdentity>(task).group);
    const bool movesAlone = !step.gang && !step.bestEffort && !step.endless;
    const auto patience = std::max(stallLimit, step.runEstimate / stallPart);
    return movesAlone && state.phase == RunPhase::Running && at - state.movedAt > patience;
}

/** Stops a run that stands still, so that its task can run on another worker. */
void stopStalled(Entry &entry, RunRef run, const TickTime &time)
{
    const auto identity = entry.work.runs.get<RunIdentity>(run);
    const auto name = nameOf(entry, identity.task);
    logEvent(entry,
             EventKind::RunStalled,
             name.job,
             "task={}.{}.{} run={} worker={} percent={} still_ms={}",
             name.occurrence,
             name.step,
             name.index,
             identity.number,
             entry.workers.table.get<WorkerIdentity>(identity.worker).id,
             entry.work.runs.get<RunState>(run).percent,
             (time.now - entry.work.runs.get<RunState>(run).movedAt).count());
    entry.work.tasks.get<TaskState>(identity.task).avoid = identity.worker;
    auto &health = entry.workers.table.get<WorkerHealth>(identity.worker);
    health.avoidUntil = std::max(health.avoidUntil, time.now + stalledPause);
    stopRun(entry, run, time);
}

void applyRunning(Entry &entry,
                  const PollResponse &answer,
                  absl::flat_hash_set<std::uint32_t> &seen,
                  const TickTime &time)
{
    for (const auto &row : answer.running) {
        const auto run = findRun(entry, answer.worker, row.task, row.run);
        if (!run.isSet()) {
            stopStray(entry, answer.worker, row);
            continue;
        }
        seen.insert(run.index);
        auto &state = entry.work.runs.get<RunState>(run);
        if (state.phase == RunPhase::Ordered || state.phase == RunPhase::Unverified) {
            state.phase = RunPhase::Running;
            state.settledAt = answer.receivedAt;
            state.movedAt = answer.receivedAt;
        }
        noteProgress(state, row, answer.receivedAt);
        if (!row.checkpoint.empty()) {
            entry.work.tasks.get<TaskState>(entry.work.runs.get<RunIdentity>(run).task).checkpoint = row.checkpoint;
        }
        if (isStalled(entry, run, answer.receivedAt)) {
            stopStalled(entry, run, time);
        }
    }
}

void applyEnds(Entry &entry, const PollResponse &answer, const TickTime &time)
{
    for (const auto &row : answer.ended) {
        if (row.number <= entry.workers.table.get<WorkerLink>(answer.worker).endsSeen) {
            continue;
        }
        if (const auto run = findRun(entry, answer.worker, row.task, row.run); run.isSet()) {
            noteOutcome(entry, answer.worker, row.how, time);
            endRun(entry, run, row.how, row.checkpoint, time);
        } else if (row.how == RunEnd::Done) {
            endUnknownRun(entry, row.task, time);
        }
        auto &link = entry.workers.table.get<WorkerLink>(answer.worker);
        link.endsSeen = row.number;
        link.pendingEnds.push_back({row.number, nextOwnerBatch(entry)});
    }
}

/** Tells whether a run that is on neither list can be judged by them. */
bool isSettledBefore(const RunState &state, MonotonicTime sentAt)
{
    switch (state.phase) {
    case RunPhase::Running:
        return state.settledAt < sentAt;
    case RunPhase::Stopping:
        return state.stopTaken && state.settledAt < sentAt;
    case RunPhase::Unverified:
        return true;
    default:
        return false;
    }
}

/** Runs that should be on the lists and are not: they never began, or are gone. */
void applyMissing(Entry &entry,
                  const PollResponse &answer,
                  const absl::flat_hash_set<std::uint32_t> &seen,
                  const TickTime &time)
{
    const auto runs = entry.workers.table.get<WorkerLoad>(answer.worker).runs;
    for (const auto run : runs) {
        if (!entry.work.runs.contains(run) || seen.contains(run.index)) {
            continue;
        }
        const auto &state = entry.work.runs.get<RunState>(run);
        if (!isSettledBefore(state, answer.sentAt)) {
            continue;
        }
        if (state.phase == RunPhase::Running) {
            endRun(entry, run, RunEnd::LeaseExpired, {}, time);
        } else {
            discardRun(entry, run, time);
        }
    }
}

void noteSilence(Entry &entry, const PollResponse &answer, const TickTime &time)
{
    auto &link = entry.workers.table.get<WorkerLink>(answer.worker);
    const auto &identity = entry.workers.table.get<WorkerIdentity>(answer.worker);
    if (answer.result == OrderResult::WorkerReplaced) {
        endAllRuns(entry, answer.worker, "another worker has its address", time);
        entry.workers.table.get<WorkerHealth>(answer.worker).listed = false;
        link.holdAt = time.now + healthPause;
        return;
    }
    if (++link.silent == silentHolds) {
        logEvent(entry,
                 EventKind::WorkerLost,
                 0,
                 "worker={} address={} lease_left_ms={} runs={}",
                 identity.id,
                 identity.address,
                 (link.leaseOverAt - time.now).count(),
                 entry.workers.table.get<WorkerLoad>(answer.worker).runs.size());
    }
    link.holdAt = time.now + (link.silent == 1 ? resendPause : afterSilence);
}

void takeHold(Entry &entry, const PollResponse &answer, const TickTime &time)
{
    if (!entry.workers.table.contains(answer.worker) || answer.token != entry.ownership.token) {
        return;
    }
    entry.workers.table.get<WorkerLink>(answer.worker).inFlight = false;
    if (answer.result == OrderResult::Fenced) {
        resign(entry, "a worker has seen a newer owner");
        return;
    }
    if (answer.result != OrderResult::Accepted) {
        noteSilence(entry, answer, time);
        return;
    }
    if (entry.workers.table.get<WorkerLink>(answer.worker).incarnation != answer.incarnation) {
        beginLife(entry, answer.worker, answer.incarnation, time);
    }
    auto &link = entry.workers.table.get<WorkerLink>(answer.worker);
    if (link.silent >= silentHolds) {
        logEvent(entry,
                 EventKind::WorkerRegained,
                 0,
                 "worker={}",
                 entry.workers.table.get<WorkerIdentity>(answer.worker).id);
    }
    entry.work.changed = entry.work.changed || !link.known || link.silent > 0;
    entry.counters.observe(LatencyKind::Hold, answer.receivedAt - answer.sentAt);
    link.silent = 0;
    link.known = true;
    link.heardAt = time.now;
    link.clock = answer.clock;
    link.clockReadAt = answer.receivedAt;
    judgeLease(link);
    link.holdAt = time.now;
    absl::flat_hash_set<std::uint32_t> seen;
    applyRunning(entry, answer, seen, time);
    applyEnds(entry, answer, time);
    applyMissing(entry, answer, seen, time);
}

void giveUpStart(Entry &entry, RunRef run, const TickTime &time)
{
    const auto &state = entry.work.runs.get<RunState>(run);
    if (state.mayHaveArrived) {
        stopRun(entry, run, time);
    } else {
        discardRun(entry, run, time);
    }
}

/** A start was rejected: the order did nothing, but an earlier one may have. */
void rejectStart(Entry &entry, RunRef run, OrderResult result, const TickTime &time)
{
    const auto identity = entry.work.runs.get<RunIdentity>(run);
    auto &health = entry.workers.table.get<WorkerHealth>(identity.worker);
    const auto group = entry.work.tasks.get<TaskIdentity>(identity.task).group;
    auto &task = entry.work.tasks.get<TaskState>(identity.task);
    ++entry.counters.rejectedStarts[static_cast<std::size_t>(result)];
    logEvent(entry,
             EventKind::StartRejected,
             nameOf(entry, identity.task).job,
             "run={} worker={} result={}",
             identity.number,
             entry.workers.table.get<WorkerIdentity>(identity.worker).id,
             flamingotally::nameOf(orderResultTable, result));
    if (result == OrderResult::Superseded) {
        task.lastRun += numberSkip;
    } else if (result == OrderResult::NoCapacity) {
        health.avoidUntil = std::max(health.avoidUntil, time.now + fullPause);
    } else if (result == OrderResult::NoTicket) {
        entry.work.groups.get<GroupAdvice>(group).byWorker.erase(
            entry.workers.table.get<WorkerIdentity>(identity.worker).id);
    } else if (result == OrderResult::Unhealthy) {
        health.avoidUntil = std::max(health.avoidUntil, time.now + healthPause);
    } else if (result == OrderResult::Malformed) {
        task.readyAt = time.now + healthPause;
    }
    giveUpStart(entry, run, time);
}

void takeStart(Entry &entry, const OrderResponse &answer, const TickTime &time)
{
    auto &state = entry.work.runs.get<RunState>(answer.run);
    state.inFlight = false;
    const bool isOpen = state.phase == RunPhase::Ordered;
    switch (answer.result) {
    case OrderResult::Accepted:
        if (isOpen) {
            state.phase = RunPhase::Running;
            state.settledAt = answer.receivedAt;
            state.movedAt = answer.receivedAt;
            ++entry.counters.starts;
            entry.counters.observe(LatencyKind::Start, answer.receivedAt - answer.sentAt);
        }
        break;
    case OrderResult::WorkerReplaced:
        endAllRuns(entry, entry.work.runs.get<RunIdentity>(answer.run).worker, "another worker has its address", time);
        break;
    case OrderResult::NoResponse:
        state.mayHaveArrived = true;
        ++entry.counters.unansweredOrders;
        [[fallthrough]];
    case OrderResult::NeverSent:
        state.sendAt = time.now + (answer.result == OrderResult::NoResponse ? resendPause : unsentPause);
        if (isOpen && state.sends >= maxSends) {
            giveUpStart(entry, answer.run, time);
        }
        break;
    default:
        if (isOpen) {
            rejectStart(entry, answer.run, answer.result, time);
        }
        break;
    }
}

void takeStop(Entry &entry, const OrderResponse &answer, const TickTime &time)
{
    auto &state = entry.work.runs.get<RunState>(answer.run);
    state.inFlight = false;
    if (answer.result == OrderResult::Accepted) {
        state.stopTaken = true;
        state.settledAt = answer.receivedAt;
        auto &link = entry.workers.table.get<WorkerLink>(entry.work.runs.get<RunIdentity>(answer.run).worker);
        link.holdAt = std::min(link.holdAt, time.now);
    } else if (answer.result == OrderResult::WorkerReplaced) {
        endAllRuns(entry, entry.work.runs.get<RunIdentity>(answer.run).worker, "another worker has its address", time);
    } else {
        state.sendAt = time.now + (answer.result == OrderResult::NoResponse ? resendPause : unsentPause);
    }
}

void takeOrder(Entry &entry, const OrderResponse &answer, const TickTime &time)
{
    if (answer.token != entry.ownership.token) {
        return;
    }
    if (answer.result == OrderResult::Fenced) {
        resign(entry, "a worker has seen a newer owner");
        return;
    }
    if (!entry.work.runs.contains(answer.run)) {
        return;
    }
    if (answer.kind == OrderKind::Start) {
        takeStart(entry, answer, time);
    } else {
        takeStop(entry, answer, time);
    }
}

} // namespace

void workerReportSystem(Entry &entry, const TickTime &time)
{
    for (const auto &it : entry.inbox.orderResponses) {
        if (entry.isOwner()) {
            takeOrder(entry, it, time);
        }
    }
    for (const auto &it : entry.inbox.pollResponses) {
        if (entry.isOwner()) {
            takeHold(entry, it, time);
        }
    }
}

} // namespace flamingotally::dispatch
