#include "dispatch/crash_func.h"
#include "dispatch/entry_func.h"
#include "dispatch/lease_renewal.h"
#include "dispatch/region_link.h"
#include "dispatch/systems/systems.h"
#include "dispatch/work_func.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Runs that save checkpoints and endless runs are stopped this long before their worker may be removed. */
constexpr Milliseconds removalMargin{1'000};

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
            loseRun(entry, run, "lease expired", time);
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

} // namespace

void leaseSystem(Entry &entry, const TickTime &time)
{
    if (!entry.isOwner()) {
        return;
    }
    countSilence(entry.workers, entry.settings.domain);
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

} // namespace flamingotally::dispatch
