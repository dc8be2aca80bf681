#include "dispatch/crash_func.h"

#include "dispatch/entry_func.h"
#include "dispatch/work_func.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** A run that was confirmed this long before the worker's last response did not make the worker crash. */
constexpr Milliseconds settledAfter{10'000};
/** A start order sent this long before the worker's last response, or later, is recent. */
constexpr Milliseconds recentPeriod{200};
constexpr Milliseconds crashCheckPeriod{15'000}; ///< How long a silent worker is polled for whether it has crashed.

/** Returns how much a crash counts against the task of a suspected run. */
std::uint32_t weightOf(Suspicion suspicion)
{
    constexpr std::uint32_t unsettledWeight = 1;
    constexpr std::uint32_t recentWeight = 2;
    return suspicion >= Suspicion::Recent ? recentWeight : unsettledWeight;
}

/** Returns the most suspected runs of a worker; none when all have been running for long. */
std::vector<SuspectRun> suspectsOn(const Entry &entry, WorkerRef worker)
{
    std::vector<SuspectRun> suspects;
    auto highest = Suspicion::Unsettled;
    for (const auto run : entry.workers.table.get<WorkerLoad>(worker).runs) {
        const auto suspicion = suspicionOf(entry, run);
        if (suspicion < highest) {
            continue;
        }
        if (suspicion > highest) {
            highest = suspicion;
            suspects.clear();
        }
        const auto &identity = entry.work.runs.get<RunIdentity>(run);
        suspects.push_back({identity.task, identity.number, suspicion});
    }
    return suspects;
}

} // namespace

bool isSettled(const Entry &entry, RunRef run)
{
    const auto worker = entry.work.runs.get<RunIdentity>(run).worker;
    const auto confirmedAt = entry.work.runs.get<RunState>(run).confirmedAt;
    const auto aliveAt = entry.workers.table.get<WorkerLink>(worker).lastResponseAt;
    return confirmedAt != MonotonicTime{} && aliveAt - confirmedAt >= settledAfter;
}

Suspicion suspicionOf(const Entry &entry, RunRef run)
{
    const auto &identity = entry.work.runs.get<RunIdentity>(run);
    const auto &state = entry.work.runs.get<RunState>(run);
    const auto aliveAt = entry.workers.table.get<WorkerLink>(identity.worker).lastResponseAt;
    if (state.firstSentAt == MonotonicTime{} || isSettled(entry, run)) {
        return Suspicion::None;
    }
    const bool isRecent = state.confirmedAt == MonotonicTime{} || state.firstSentAt > aliveAt - recentPeriod;
    const bool isAgain = entry.work.tasks.get<TaskState>(identity.task).crashWeight > 0;
    if (isRecent) {
        return isAgain ? Suspicion::RecentAgain : Suspicion::Recent;
    }
    return isAgain ? Suspicion::UnsettledAgain : Suspicion::Unsettled;
}

void recordCrash(Entry &entry, WorkerRef worker, const TickTime &time)
{
    auto suspects = suspectsOn(entry, worker);
    auto &link = entry.workers.table.get<WorkerLink>(worker);
    const auto lost = std::exchange(link.lostSuspects, {});
    suspects.insert(suspects.end(), lost.begin(), lost.end());
    std::erase_if(suspects, [&](const SuspectRun &it) { return !entry.work.tasks.contains(it.task); });
    if (entry.workers.table.get<WorkerHealth>(worker).draining) {
        return;
    }
    for (const auto &it : suspects) {
        const auto name = nameOf(entry, it.task);
        logEvent(entry,
                 EventKind::TaskSuspected,
                 name.job,
                 "task={}.{}.{} run={} worker={} weight_before={} suspicion={} suspects={}",
                 name.occurrence,
                 name.step,
                 name.index,
                 it.number,
                 entry.workers.table.get<WorkerIdentity>(worker).id,
                 entry.work.tasks.get<TaskState>(it.task).crashWeight,
                 flamingotally::nameOf(suspicionTable, it.suspicion),
                 suspects.size());
        countCrash(entry, it.task, it.number, weightOf(it.suspicion), time);
    }
}

void rememberSuspects(Entry &entry, WorkerRef worker, const TickTime &time)
{
    auto suspects = suspectsOn(entry, worker);
    if (suspects.empty()) {
        return;
    }
    auto &link = entry.workers.table.get<WorkerLink>(worker);
    link.lostSuspects = std::move(suspects);
    link.lostAt = time.now;
}

bool mayHaveCrashed(const Entry &entry, WorkerRef worker, const TickTime &time)
{
    const auto &link = entry.workers.table.get<WorkerLink>(worker);
    return !link.lostSuspects.empty() && time.now - link.lostAt < crashCheckPeriod;
}

} // namespace flamingotally::dispatch
