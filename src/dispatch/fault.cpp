#include "dispatch/fault_func.h"

#include "dispatch/entry_func.h"
#include "dispatch/policy/pool_share.h"
#include "dispatch/work_func.h"

#include <algorithm>
#include <utility>

namespace flamingotally::dispatch
{

namespace
{

/** Runs with faults on this many workers show a faulty step, unless as many of its runs are healthy. */
constexpr std::size_t workersOfFaultyStep = 2;
constexpr std::size_t maxWorkersOfGroup = 16; ///< Workers remembered of a group; faults on further ones show no more.
constexpr std::size_t maxFaultsOfWorker = 8; ///< Faults remembered of a worker; the oldest one is forgotten first.
constexpr Milliseconds progressPeriod{1'500}; ///< A run that made progress within this period does not stall.

/** Returns how many tasks of a group show that its step can run: they are done, or their runs are healthy. */
std::size_t countHealthy(const Entry &entry, GroupRef group, FaultKind kind, const TickTime &time)
{
    const auto &state = entry.work.groups.get<GroupState>(group);
    const auto hasHealthyRun = [&](TaskRef task) {
        const auto run = entry.work.tasks.get<TaskState>(task).run;
        if (!run.isSet()) {
            return false;
        }
        const auto &it = entry.work.runs.get<RunState>(run);
        const bool isProgressing = it.percent > 0 && time.now - it.progressAt < progressPeriod;
        return it.isHealthy || (kind == FaultKind::Stalled && isProgressing);
    };
    return state.done + static_cast<std::size_t>(std::ranges::count_if(state.tasks, hasHealthyRun));
}

std::size_t countFaults(const WorkerHealth &health, FaultKind kind)
{
    return static_cast<std::size_t>(std::ranges::count(health.faults, kind, &WorkerFault::kind));
}

/** Counts a fault of a group's run against its worker, and suspends the worker if its faults suffice for that. */
void blameWorker(Entry &entry, const FaultyWorker &faulty, GroupRef group, const TickTime &time)
{
    if (!entry.workers.table.contains(faulty.worker)) {
        return;
    }
    const auto &row = rowOf(faultKindTable, faulty.kind);
    auto &health = entry.workers.table.get<WorkerHealth>(faulty.worker);
    const auto until = faulty.at + row.suspension;
    const bool isCounted = std::ranges::any_of(
        health.faults, [&](const WorkerFault &it) { return it.group == group && it.at == faulty.at; });
    if (isCounted || until <= time.now) {
        return;
    }
    if (health.faults.size() == maxFaultsOfWorker) {
        health.faults.erase(health.faults.begin());
    }
    health.faults.push_back({group, faulty.kind, faulty.at});
    const bool isSuspended = time.now < health.suspendedUntil;
    if (countFaults(health, faulty.kind) < row.neededToSuspend) {
        return;
    }
    if (!isSuspended && !mayKeepFromTasks(entry, faulty.worker, time)) {
        ++entry.counters.suspensionsOverLimit;
        return;
    }
    health.suspendedUntil = std::max(health.suspendedUntil, until);
    health.suspendedFor = faulty.kind;
    entry.counters.suspensions += isSuspended ? 0 : 1;
    const auto &identity = entry.work.groups.get<GroupIdentity>(group);
    logEvent(entry,
             EventKind::WorkerSuspended,
             entry.jobs.table.get<JobIdentity>(identity.job).id,
             "worker={} cause={} step={} faults={} pause_ms={}",
             entry.workers.table.get<WorkerIdentity>(faulty.worker).id,
             row.name,
             identity.step,
             health.faults.size(),
             (health.suspendedUntil - time.now).count());
}

/** Takes back what was counted against a worker for a group, and reinstates the worker if the rest does not suffice. */
void exonerateWorker(Entry &entry, WorkerRef worker, GroupRef group, const TickTime &time)
{
    if (!entry.workers.table.contains(worker)) {
        return;
    }
    auto &health = entry.workers.table.get<WorkerHealth>(worker);
    const auto erased = std::erase_if(health.faults, [&](const WorkerFault &it) { return it.group == group; });
    const auto needed = rowOf(faultKindTable, health.suspendedFor).neededToSuspend;
    if (erased == 0 || time.now >= health.suspendedUntil || countFaults(health, health.suspendedFor) >= needed) {
        return;
    }
    logEvent(entry,
             EventKind::WorkerReinstated,
             0,
             "worker={} cause=\"a step has faults on several workers\" pause_left_ms={}",
             entry.workers.table.get<WorkerIdentity>(worker).id,
             (health.suspendedUntil - time.now).count());
    health.suspendedUntil = {};
    entry.work.passRequested = true;
}

/** Takes a step for faulty, and none of the workers on which its runs had faults. */
void blameStep(Entry &entry, GroupRef group, const TickTime &time)
{
    auto &faults = entry.work.groups.get<GroupFaults>(group);
    faults.isStepAtFault = true;
    ++entry.counters.faultySteps;
    const auto &identity = entry.work.groups.get<GroupIdentity>(group);
    logEvent(entry,
             EventKind::StepAtFault,
             entry.jobs.table.get<JobIdentity>(identity.job).id,
             "step={} cause={} workers={} tasks={} done={}",
             identity.step,
             flamingotally::nameOf(faultKindTable, faults.workers.back().kind),
             faults.workers.size(),
             entry.work.groups.get<GroupState>(group).tasks.size(),
             entry.work.groups.get<GroupState>(group).done);
    for (const auto &it : faults.workers) {
        exonerateWorker(entry, it.worker, group, time);
    }
}

} // namespace

void recordFault(Entry &entry, RunRef run, FaultKind kind, const TickTime &time)
{
    const auto identity = entry.work.runs.get<RunIdentity>(run);
    const auto group = entry.work.tasks.get<TaskIdentity>(identity.task).group;
    auto &faults = entry.work.groups.get<GroupFaults>(group);
    const FaultyWorker faulty{identity.worker, kind, time.now};
    if (const auto it = std::ranges::find(faults.workers, identity.worker, &FaultyWorker::worker);
        it != faults.workers.end()) {
        *it = faulty;
        if (faults.workers.size() == 1 && countHealthy(entry, group, kind, time) > 0) {
            blameWorker(entry, faulty, group, time); // its runs have faults here only
        }
        return;
    }
    if (faults.workers.size() == maxWorkersOfGroup) {
        return;
    }
    faults.workers.push_back(faulty);
    if (faults.isStepAtFault) {
        return;
    }
    if (faults.workers.size() >= workersOfFaultyStep
        && faults.workers.size() > countHealthy(entry, group, kind, time)) {
        blameStep(entry, group, time);
    } else {
        blameWorker(entry, faulty, group, time);
    }
}

void recordHealthyRun(Entry &entry, RunRef run, const TickTime &time)
{
    const auto identity = entry.work.runs.get<RunIdentity>(run);
    const auto group = entry.work.tasks.get<TaskIdentity>(identity.task).group;
    entry.workers.table.get<WorkerHealth>(identity.worker).faults.clear();
    auto &faults = entry.work.groups.get<GroupFaults>(group);
    faults.isStepAtFault = false;
    for (const auto &it : std::exchange(faults.workers, {})) {
        if (it.worker != identity.worker) {
            blameWorker(entry, it, group, time);
        }
    }
}

bool isStepAtFault(const Entry &entry, GroupRef group)
{
    return entry.work.groups.get<GroupFaults>(group).isStepAtFault;
}

} // namespace flamingotally::dispatch
