#include "dispatch/restart_func.h"

#include "dispatch/entry_func.h"
#include "dispatch/fault_func.h"
#include "dispatch/work_func.h"
#include "dispatch/work_step.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

constexpr Milliseconds longRunTime{5'000}; ///< A run of an endless task that lasts less than this is short.
constexpr std::uint32_t shortRunsWithoutDelay = 2; ///< After so many short runs in a row a task is begun again at once.
constexpr Milliseconds firstDelay{100}; ///< After one more short run; doubled with each further one.
constexpr Milliseconds longestDelay{4'000};
/** The delays of tasks with different indexes differ by up to 1/4, so that they are not begun all at the same time. */
constexpr int spreadDivisor = 4;
constexpr int spreadSteps = 16;

/** Returns the delay of a task, shortened by its index. */
Milliseconds spread(Milliseconds delay, std::uint32_t index)
{
    return delay - delay / spreadDivisor * static_cast<int>(index % spreadSteps) / spreadSteps;
}

/** Calls a function with the state of a task or, if its step is a gang, of each member. */
template<typename Function>
void forEachMember(Entry &entry, TaskRef task, Function &&function)
{
    auto &work = entry.work;
    const auto group = work.tasks.get<TaskIdentity>(task).group;
    if (!stepOf(entry, group).gang) {
        function(work.tasks.get<TaskState>(task));
        return;
    }
    for (const auto it : work.groups.get<GroupState>(group).tasks) {
        function(work.tasks.get<TaskState>(it));
    }
}

/**
 * Counts a short run of a task.
 * @return Number of its short runs in a row; of those of the whole step, if that is at fault and they are more.
 */
std::uint32_t countShortRun(Entry &entry, TaskRef task)
{
    const auto group = entry.work.tasks.get<TaskIdentity>(task).group;
    const auto ofStep = ++entry.work.groups.get<GroupState>(group).failures;
    const auto ofTask = entry.work.tasks.get<TaskState>(task).failures + 1;
    return isStepAtFault(entry, group) ? std::max(ofStep, ofTask) : ofTask;
}

/** Logs that a task waits before its next run, once for each longer delay of its group. */
void logDelay(Entry &entry, TaskRef task, std::uint32_t shortRuns, Milliseconds delay)
{
    auto &logged = entry.work.groups.get<GroupFaults>(entry.work.tasks.get<TaskIdentity>(task).group).loggedDelay;
    if (delay <= logged) {
        return;
    }
    logged = delay;
    const auto name = nameOf(entry, task);
    logEvent(entry,
             EventKind::RestartDelayed,
             name.job,
             "task={}.{}.{} short_runs={} delay_ms={}",
             name.occurrence,
             name.step,
             name.index,
             shortRuns,
             delay.count());
}

} // namespace

bool isLongRun(const Entry &entry, RunRef run, MonotonicTime at)
{
    const auto confirmedAt = entry.work.runs.get<RunState>(run).confirmedAt;
    return confirmedAt != MonotonicTime{} && at - confirmedAt >= longRunTime;
}

Milliseconds restartDelay(std::uint32_t shortRuns)
{
    if (shortRuns <= shortRunsWithoutDelay) {
        return Milliseconds{0};
    }
    auto delay = firstDelay;
    for (auto n = shortRunsWithoutDelay + 1; n < shortRuns && delay < longestDelay; ++n) {
        delay *= 2;
    }
    return std::min(delay, longestDelay);
}

void delayRestart(Entry &entry, RunRef run, const TickTime &time)
{
    const auto identity = entry.work.runs.get<RunIdentity>(run);
    const auto group = entry.work.tasks.get<TaskIdentity>(identity.task).group;
    auto &groupState = entry.work.groups.get<GroupState>(group);
    if (stepOf(entry, group).gang && std::exchange(groupState.failedRun, identity.number) == identity.number) {
        return; // another member of the run has been counted
    }
    const auto shortRuns = isLongRun(entry, run, time.now) ? 0 : countShortRun(entry, identity.task);
    const auto longest = restartDelay(shortRuns);
    const auto delay = spread(longest, entry.work.tasks.get<TaskIdentity>(identity.task).index);
    forEachMember(entry, identity.task, [&](TaskState &it) {
        it.failures = shortRuns;
        it.readyAt = time.now + delay;
    });
    if (delay > Milliseconds{0}) {
        ++entry.counters.delayedRestarts;
        logDelay(entry, identity.task, shortRuns, longest);
    }
}

void recordLongRun(Entry &entry, RunRef run, const TickTime &time)
{
    const auto task = entry.work.runs.get<RunIdentity>(run).task;
    entry.work.runs.get<RunState>(run).isHealthy = true;
    recordHealthyRun(entry, run, time);
    entry.work.groups.get<GroupState>(groupOf(entry, run)).failures = 0;
    if (entry.work.tasks.get<TaskState>(task).failures > 0) {
        forEachMember(entry, task, [](TaskState &it) { it.failures = 0; });
        markDirty(entry.work, occurrenceOf(entry.work, task));
    }
}

} // namespace flamingotally::dispatch
