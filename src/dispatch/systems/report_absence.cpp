#include "dispatch/systems/report_absence.h"

#include "dispatch/entry_func.h"
#include "dispatch/work_func.h"

#include <algorithm>
#include <utility>

namespace flamingotally::dispatch
{

namespace
{

/** Returns true if a report lists a run as running. */
bool isReported(const Entry &entry, const PollResponse &response, RunRef run)
{
    return std::ranges::any_of(response.running, [&](const RunningRow &row) {
        return findRun(entry, response.worker, row.task, row.run) == run;
    });
}

/**
 * Returns true if the response to a poll sent at the given time would contain the run if it were still running. Its
 * absence then shows that it has ended or never started.
 */
bool isConfirmedBefore(const RunState &state, MonotonicTime sentAt)
{
    switch (state.phase) {
    case RunPhase::Running:
        return state.confirmedAt < sentAt;
    case RunPhase::Stopping:
        return state.stopAccepted && state.confirmedAt < sentAt;
    case RunPhase::Unverified:
        return true;
    default:
        return false;
    }
}

/** How much a report covers, which decides what the absence of a run from it shows. */
enum class Coverage : std::uint8_t {
    Complete, ///< All running runs and all ends: a run that is absent has disappeared or never started.
    PartlyUnreadable, ///< Some rows could not be read, and one of them may be about a run that is absent.
    CutOff, ///< Not all ends: that of a run that is absent may follow in a later report.
};

/** Returns how much a report covers, after its ends were applied. */
Coverage coverageOf(const Entry &entry, const PollResponse &response)
{
    const auto &link = entry.workers.table.get<WorkerLink>(response.worker);
    // a list of which nothing is left to be acknowledged gets no shorter, so that no further ends follow
    if (response.hasMoreEnds && response.lastEndNumber > link.lastEndAcknowledged) {
        return Coverage::CutOff;
    }
    return response.hasMoreEnds || response.hasMalformedRows ? Coverage::PartlyUnreadable : Coverage::Complete;
}

/** Logs when the reports of a worker begin to be cut off, and when they are complete again. */
void recordCoverage(Entry &entry, const PollResponse &response, Coverage coverage, const TickTime &time)
{
    const auto &worker = entry.workers.table.get<WorkerIdentity>(response.worker).id;
    auto &since = entry.workers.table.get<WorkerLink>(response.worker).cutOffSince;
    const bool wasCutOff = since != MonotonicTime{};
    if (coverage == Coverage::CutOff && !wasCutOff) {
        since = time.now;
        logEvent(entry,
                 EventKind::ReportCutOff,
                 0,
                 "worker={} running={} ends={} runs={}",
                 worker,
                 response.running.size(),
                 response.ended.size(),
                 entry.workers.table.get<WorkerLoad>(response.worker).runs.size());
    } else if (coverage != Coverage::CutOff && wasCutOff) {
        logEvent(entry,
                 EventKind::ReportComplete,
                 0,
                 "worker={} cut_off_ms={}",
                 worker,
                 (time.now - std::exchange(since, MonotonicTime{})).count());
    }
}

/**
 * Ends or discards a run that a report lacks though it would be listed if it were still running. If its row may have
 * been unreadable, it is stopped first, so that it certainly does not run when its task is placed again.
 */
void applyAbsence(Entry &entry, RunRef run, Coverage coverage, const TickTime &time)
{
    const auto phase = entry.work.runs.get<RunState>(run).phase;
    if (coverage == Coverage::PartlyUnreadable && phase != RunPhase::Stopping) {
        stopRun(entry, run, time);
    } else if (phase == RunPhase::Running) {
        loseRun(entry, run, "not in the worker's report", time);
    } else {
        discardRun(entry, run, time);
    }
}

} // namespace

RunRef findRun(const Entry &entry, WorkerRef worker, const TaskName &task, RunNumber number)
{
    const auto it = entry.work.runByTask.find(task);
    if (it == entry.work.runByTask.end()) {
        return {};
    }
    const auto &identity = entry.work.runs.get<RunIdentity>(it->second);
    return identity.worker == worker && identity.number == number ? it->second : RunRef{};
}

void endRunsBeforeRestart(Entry &entry, const PollResponse &response, const TickTime &time)
{
    const auto runs = entry.workers.table.get<WorkerLoad>(response.worker).runs;
    for (const auto run : runs) {
        if (!entry.work.runs.contains(run)) {
            continue;
        }
        auto &state = entry.work.runs.get<RunState>(run);
        state.stopAccepted = false; // the worker has forgotten it, and may still execute a late start
        if (isReported(entry, response, run)) {
            continue;
        }
        const bool wasRunning = state.phase == RunPhase::Running && state.confirmedAt < response.sentAt;
        const bool wasOrdered = state.phase == RunPhase::Ordered && state.startsSent > 0;
        if (wasOrdered || (wasRunning && state.mayHaveArrived)) {
            stopRun(entry, run, time);
        } else if (wasRunning) {
            loseRun(entry, run, "worker restarted", time);
        }
    }
}

void applyMissing(Entry &entry,
                  const PollResponse &response,
                  const absl::flat_hash_set<std::uint32_t> &seen,
                  const TickTime &time)
{
    const auto coverage = coverageOf(entry, response);
    recordCoverage(entry, response, coverage, time);
    if (coverage == Coverage::CutOff) {
        return;
    }
    const auto runs = entry.workers.table.get<WorkerLoad>(response.worker).runs;
    for (const auto run : runs) {
        if (entry.work.runs.contains(run) && !seen.contains(run.index)
            && isConfirmedBefore(entry.work.runs.get<RunState>(run), response.sentAt)) {
            applyAbsence(entry, run, coverage, time);
        }
    }
}

} // namespace flamingotally::dispatch
