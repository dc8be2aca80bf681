#include "dispatch/crash_func.h"
#include "dispatch/entry_func.h"
#include "dispatch/fault_func.h"
#include "dispatch/lease_expiry.h"
#include "dispatch/policy/order_pacing.h"
#include "dispatch/region_link.h"
#include "dispatch/restart_func.h"
#include "dispatch/systems/report_absence.h"
#include "dispatch/systems/response_pause.h"
#include "dispatch/systems/systems.h"
#include "dispatch/table/dispatch_table.h"
#include "dispatch/work_func.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Pause before the next poll after two or more consecutive polls without a response. */
constexpr Milliseconds missedPollPause{250};
constexpr Milliseconds stallLimit{1'500}; ///< A run is never stalled while its last progress is more recent than this.
constexpr int stallDivisor = 4; ///< A run is stalled after 1/4 of its estimate without progress, if that is longer.
/** The limit is longer by this factor if the runs of the step stall on several workers: it may just be slow. */
constexpr int slowStepFactor = 8;
/** Consecutive polls without a response after which a worker is unresponsive. */
constexpr std::uint32_t unresponsiveAfter = 2;
constexpr Milliseconds malformedRowPause{300}; ///< Pause before the next poll after a report with malformed rows.

/**
 * Records what the end of a run shows of its worker and its step. The end of an endless run that has lasted for long
 * shows nothing of either.
 */
void recordRunOutcome(Entry &entry, RunRef run, RunEnd how, const TickTime &time)
{
    const bool isEndless = stepOf(entry, groupOf(entry, run)).endless;
    if (how == RunEnd::Done && !isEndless) {
        recordHealthyRun(entry, run, time);
    } else if (isOwnEnd(how) && !(isEndless && isLongRun(entry, run, time.now))) {
        recordFault(entry, run, FaultKind::Failed, time);
    }
}

/**
 * Resets the link to a worker that responds under another incarnation. If it responded before, it has restarted, and
 * its confirmed runs have ended.
 */
void beginIncarnation(Entry &entry, const PollResponse &response, const TickTime &time)
{
    const auto worker = response.worker;
    auto &link = entry.workers.table.get<WorkerLink>(worker);
    const bool isRestarted = link.incarnation != 0;
    link.incarnation = response.incarnation;
    link.lastEndApplied = 0;
    link.lastEndStored = 0;
    link.lastEndAcknowledged = 0;
    link.pendingEnds.clear();
    link.cutOffSince = {};
    if (!isRestarted) {
        return;
    }
    link.latestLeaseUntil = {};
    logEvent(entry,
             EventKind::WorkerRestarted,
             0,
             "worker={} runs={} silent_ms={}",
             entry.workers.table.get<WorkerIdentity>(worker).id,
             entry.workers.table.get<WorkerLoad>(worker).runs.size(),
             (time.now - link.lastResponseAt).count());
    recordCrash(entry, worker, time);
    endRunsBeforeRestart(entry, response, time);
}

/** Stops a run that a worker reports but that is not in this owner's tables. */
void stopStray(Entry &entry, WorkerRef worker, const RunningRow &row)
{
    const auto &identity = entry.workers.table.get<WorkerIdentity>(worker);
    entry.workers.table.get<WorkerLink>(worker).hasStrayRuns = true;
    logEvent(entry, EventKind::StrayRun, row.task.job, "worker={} run={}", identity.id, row.run);
    entry.outbox.stops.push_back({{},
                                  worker,
                                  row.task,
                                  row.run,
                                  identity.id,
                                  identity.address,
                                  entry.ownership.token,
                                  orderTimeout(linkOf(entry.workers, worker).pacing, entry.settings.orderTimeout)});
}

/** Records the reported percentage of a run, and when it last changed. */
void recordProgress(RunState &state, const RunningRow &row, MonotonicTime at)
{
    if (state.percent != row.percent) {
        state.percent = row.percent;
        state.progressAt = at;
    }
}

/**
 * Returns true if a confirmed run has made no progress for too long. Runs of gangs, best-effort runs and endless runs
 * are never stalled, as they need not progress steadily.
 */
bool isStalled(const Entry &entry, RunRef run, MonotonicTime at)
{
    const auto &state = entry.work.runs.get<RunState>(run);
    const auto task = entry.work.runs.get<RunIdentity>(run).task;
    const auto group = entry.work.tasks.get<TaskIdentity>(task).group;
    const auto &step = stepOf(entry, group);
    const bool makesSteadyProgress = !step.gang && !step.bestEffort && !step.endless;
    const auto usualLimit = std::max(stallLimit, step.runEstimate / stallDivisor);
    const auto limit = isStepAtFault(entry, group) ? usualLimit * slowStepFactor : usualLimit;
    return makesSteadyProgress && state.phase == RunPhase::Running && at - state.progressAt > limit;
}

/** Stops a stalled run, so that its task can run on another worker. */
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
             (time.now - entry.work.runs.get<RunState>(run).progressAt).count());
    entry.work.tasks.get<TaskState>(identity.task).avoidedWorker = identity.worker;
    recordFault(entry, run, FaultKind::Stalled, time);
    stopRun(entry, run, time);
}

/**
 * Applies the running runs of a worker's report: confirms runs, records their progress, stops unknown and stalled ones.
 * @param seen Receives the indexes of the reported runs that are in the tables.
 */
void applyRunning(Entry &entry,
                  const PollResponse &response,
                  absl::flat_hash_set<std::uint32_t> &seen,
                  const TickTime &time)
{
    for (const auto &row : response.running) {
        const auto run = findRun(entry, response.worker, row.task, row.run);
        if (!run.isSet()) {
            stopStray(entry, response.worker, row);
            continue;
        }
        seen.insert(run.index);
        auto &state = entry.work.runs.get<RunState>(run);
        if (state.phase == RunPhase::Ordered || state.phase == RunPhase::Unverified) {
            state.phase = RunPhase::Running;
            state.confirmedAt = response.receivedAt;
            state.progressAt = response.receivedAt;
            recordStart(entry, run);
        }
        recordProgress(state, row, response.receivedAt);
        if (!row.checkpoint.empty()) {
            entry.work.tasks.get<TaskState>(entry.work.runs.get<RunIdentity>(run).task).checkpoint = row.checkpoint;
        }
        const bool isEndless = stepOf(entry, groupOf(entry, run)).endless;
        if (isEndless && !state.isHealthy && isLongRun(entry, run, response.receivedAt)) {
            recordLongRun(entry, run, time);
        }
        if (isStalled(entry, run, response.receivedAt)) {
            stopStalled(entry, run, time);
        }
    }
}

/** Notes that a run end was applied, and in which batch it will be stored, if that is known. */
void noteEnd(Entry &entry, WorkerRef worker, std::uint64_t number)
{
    auto &link = entry.workers.table.get<WorkerLink>(worker);
    link.lastEndApplied = number;
    link.pendingEnds.push_back({number, entry.work.deferred.empty() ? nextOwnerBatch(entry) : 0});
}

/**
 * Applies the run ends of a worker's report that are new. One in a malformed row at the end of the list is acknowledged
 * like the others, as the worker would list it, and no later ones, for good.
 */
void applyEnds(Entry &entry, const PollResponse &response, const TickTime &time)
{
    for (const auto &row : response.ended) {
        if (row.number <= entry.workers.table.get<WorkerLink>(response.worker).lastEndApplied) {
            continue;
        }
        if (const auto run = findRun(entry, response.worker, row.task, row.run); run.isSet()) {
            recordRunOutcome(entry, run, row.how, time);
            endRun(entry, run, row.how, row.checkpoint, time);
        } else if (row.how == RunEnd::Done) {
            endUnknownRun(entry, row.task, time);
        }
        noteEnd(entry, response.worker, row.number);
    }
    if (response.lastEndNumber > entry.workers.table.get<WorkerLink>(response.worker).lastEndApplied) {
        noteEnd(entry, response.worker, response.lastEndNumber);
    }
}

/** Handles a poll that was not accepted: got no response, was rejected, or reached another worker at the address. */
void handleMissedPoll(Entry &entry, const PollResponse &response, const TickTime &time)
{
    auto &link = entry.workers.table.get<WorkerLink>(response.worker);
    link.connection = 0;
    if (response.result == OrderResult::ConnectionClosed) {
        return; // the next poll may open a connection
    }
    const auto &identity = entry.workers.table.get<WorkerIdentity>(response.worker);
    if (response.result == OrderResult::WorkerReplaced) {
        endAllRuns(entry, response.worker, "address taken by another worker", time);
        entry.workers.table.get<WorkerHealth>(response.worker).listed = false;
        link.pollAt = time.now + unhealthyPause;
        return;
    }
    if (++link.missedPolls == unresponsiveAfter) {
        logEvent(entry,
                 EventKind::WorkerLost,
                 0,
                 "worker={} address={} cause={} listed={} lease_left_ms={} runs={}",
                 identity.id,
                 identity.address,
                 flamingotally::nameOf(orderResultTable, response.result),
                 entry.workers.table.get<WorkerHealth>(response.worker).listed,
                 (link.leaseExpiresAt - time.now).count(),
                 entry.workers.table.get<WorkerLoad>(response.worker).runs.size());
    }
    link.pollAt = time.now + (link.missedPolls == 1 ? resendPause : missedPollPause);
}

void handlePollResponse(Entry &entry, const PollResponse &response, const TickTime &time)
{
    if (!entry.workers.table.contains(response.worker) || response.token != entry.ownership.token) {
        return;
    }
    entry.workers.table.get<WorkerLink>(response.worker).inFlight = false;
    if (response.result == OrderResult::Fenced) {
        resign(entry, "worker has seen a higher fencing token");
        return;
    }
    if (response.result != OrderResult::Accepted) {
        handleMissedPoll(entry, response, time);
        return;
    }
    if (entry.workers.table.get<WorkerLink>(response.worker).incarnation != response.incarnation) {
        beginIncarnation(entry, response, time);
    }
    auto &link = entry.workers.table.get<WorkerLink>(response.worker);
    if (link.missedPolls >= unresponsiveAfter) {
        logEvent(entry,
                 EventKind::WorkerRegained,
                 0,
                 "worker={}",
                 entry.workers.table.get<WorkerIdentity>(response.worker).id);
    }
    entry.work.passRequested = entry.work.passRequested || !link.hasResponded || link.missedPolls > 0;
    entry.counters.observe(LatencyKind::Poll, response.receivedAt - response.sentAt);
    link.missedPolls = 0;
    link.lostSuspects.clear();
    link.hasResponded = true;
    link.connection = response.connection;
    link.lastResponseAt = time.now;
    link.clock = response.clock;
    link.clockReadAt = response.receivedAt;
    updateLeaseExpiry(link);
    // a worker answers at once as long as an end is not acknowledged, and one without a readable number never is
    link.pollAt = time.now + (response.hasMalformedRows ? malformedRowPause : Milliseconds{0});
    link.hasStrayRuns = false;
    absl::flat_hash_set<std::uint32_t> seen;
    applyRunning(entry, response, seen, time);
    applyEnds(entry, response, time);
    applyMissing(entry, response, seen, time);
}

} // namespace

void workerReportSystem(Entry &entry, const TickTime &time)
{
    for (const auto &it : entry.inbox.pollResponses) {
        if (entry.isOwner()) {
            handlePollResponse(entry, it, time);
        }
    }
}

} // namespace flamingotally::dispatch
