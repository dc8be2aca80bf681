#include "dispatch/work_func.h"

#include "dispatch/entry_func.h"
#include "dispatch/restart_func.h"
#include "dispatch/work_step.h"

#include <algorithm>
#include <utility>

namespace flamingotally::dispatch
{

namespace
{

/** How long a worker gets no other tasks after the start of one that is suspected of a crash. */
constexpr Milliseconds exclusivePeriod{500};

} // namespace

const StepSpec &stepOf(const Entry &entry, GroupRef group)
{
    const auto &identity = entry.work.groups.get<GroupIdentity>(group);
    return entry.jobs.table.get<JobPlan>(identity.job).spec.steps[identity.step];
}

const JobPolicy &policyOf(const Entry &entry, GroupRef group)
{
    return entry.jobs.table.get<JobPlan>(entry.work.groups.get<GroupIdentity>(group).job).policy;
}

std::size_t waitingTasks(const Entry &entry, GroupRef group)
{
    const auto &tasks = entry.work.groups.get<GroupState>(group).tasks;
    return static_cast<std::size_t>(std::ranges::count_if(
        tasks, [&](TaskRef it) { return entry.work.tasks.get<TaskState>(it).phase == TaskPhase::Waiting; }));
}

std::size_t readyTasks(const Entry &entry, GroupRef group, const TickTime &time)
{
    const auto &tasks = entry.work.groups.get<GroupState>(group).tasks;
    return static_cast<std::size_t>(std::ranges::count_if(tasks, [&](TaskRef it) {
        const auto &task = entry.work.tasks.get<TaskState>(it);
        return task.phase == TaskPhase::Waiting && time.now >= task.readyAt;
    }));
}

GroupRef groupOf(const Entry &entry, RunRef run)
{
    return entry.work.tasks.get<TaskIdentity>(entry.work.runs.get<RunIdentity>(run).task).group;
}

TaskName nameOf(const Entry &entry, TaskRef task)
{
    const auto &work = entry.work;
    const auto &identity = work.tasks.get<TaskIdentity>(task);
    const auto &group = work.groups.get<GroupIdentity>(identity.group);
    const auto number = work.occurrences.get<OccurrenceIdentity>(group.occurrence).number;
    return {entry.jobs.table.get<JobIdentity>(group.job).id, number, group.step, identity.index};
}

Resources demandOf(const StepSpec &step)
{
    auto demand = step.perTask;
    if (step.bestEffort) {
        demand.cpuMilli = 0;
    }
    return demand;
}

void closeJob(Entry &entry, JobRef job, const TickTime &time)
{
    auto &work = entry.work;
    const auto it = work.byJob.find(job);
    if (it == work.byJob.end()) {
        return;
    }
    for (const auto occurrence : it->second) {
        auto &state = work.occurrences.get<OccurrenceWork>(occurrence);
        if (state.closed) {
            continue;
        }
        state.closed = true;
        markDirty(work, occurrence);
        for (const auto group : state.groups) {
            const auto tasks = work.groups.get<GroupState>(group).tasks;
            for (const auto task : tasks) {
                auto &taskState = work.tasks.get<TaskState>(task);
                if (taskState.run.isSet()) {
                    stopRun(entry, taskState.run, time);
                } else if (taskState.phase == TaskPhase::Waiting) {
                    taskState.phase = TaskPhase::Dropped;
                }
            }
        }
    }
}

WorkerRef workerOf(Entry &entry, const std::string &id)
{
    const auto [it, isNew] = entry.workers.byId.try_emplace(id);
    if (isNew) {
        WorkerIdentity identity;
        identity.id = id;
        WorkerLink link;
        link.leaseExpiresAt = previousLeasesExpireAt(entry);
        it->second = entry.workers.table.insert(std::move(identity), {}, {}, std::move(link));
    }
    return it->second;
}

RunRef placeTask(Entry &entry, TaskRef task, WorkerRef worker, RunNumber number, const TickTime &time)
{
    auto &work = entry.work;
    const auto group = work.tasks.get<TaskIdentity>(task).group;
    const auto &step = stepOf(entry, group);
    RunState run;
    run.waitsForBatch = nextOwnerBatch(entry);
    run.reservedOnWorker = demandOf(step);
    run.chargedToTeam = step.perTask;
    run.placedAt = time.now;
    run.timeWithoutTickets = work.groups.get<GroupAdvice>(group).timeWithoutTickets;
    run.progressAt = time.now;
    const auto ref = work.runs.insert({task, worker, number}, run);
    auto &state = work.tasks.get<TaskState>(task);
    state.phase = TaskPhase::Placed;
    state.run = ref;
    state.lastRun = number;
    auto &load = entry.workers.table.get<WorkerLoad>(worker);
    load.used += run.reservedOnWorker;
    load.usedByEndless += step.endless ? run.reservedOnWorker : Resources{};
    load.latencyBoundRuns += step.targetResponse.count() > 0 ? 1 : 0;
    load.bestEffortRuns += step.bestEffort ? 1 : 0;
    load.placedAt = time.now;
    load.runs.push_back(ref);
    // a task with many short runs in a row ends by itself, and is begun too often to have workers for itself
    if (state.crashWeight > 0 && !(step.endless && restartDelay(state.failures) > Milliseconds{0})) {
        entry.workers.table.get<WorkerHealth>(worker).exclusiveUntil = time.now + exclusivePeriod;
    }
    const auto job = work.groups.get<GroupIdentity>(group).job;
    work.teamUse[entry.jobs.table.get<JobIdentity>(job).team] += run.chargedToTeam;
    work.runByTask[nameOf(entry, task)] = ref;
    const auto occurrence = occurrenceOf(work, task);
    auto &occurrenceState = work.occurrences.get<OccurrenceWork>(occurrence);
    occurrenceState.begun = occurrenceState.begun || !occurrenceState.wasGivenUp;
    ++occurrenceState.liveRuns;
    markDirty(work, occurrence);
    return ref;
}

void recordStart(Entry &entry, RunRef run)
{
    const auto occurrence = occurrenceOf(entry.work, entry.work.runs.get<RunIdentity>(run).task);
    auto &state = entry.work.occurrences.get<OccurrenceWork>(occurrence);
    state.hasStarted = true;
    if (!std::exchange(state.begun, true)) {
        markDirty(entry.work, occurrence);
    }
}

void stopRun(Entry &entry, RunRef run, const TickTime &time)
{
    auto &state = entry.work.runs.get<RunState>(run);
    if (state.phase == RunPhase::Planned) {
        discardRun(entry, run, time);
        return;
    }
    if (state.phase != RunPhase::Stopping) {
        state.phase = RunPhase::Stopping;
        state.stopAccepted = false;
        state.inFlight = false;
        state.sendAt = time.now;
    }
}

ProgressRecord progressOf(const Entry &entry, OccurrenceRef occurrence)
{
    const auto &work = entry.work;
    const auto &identity = work.occurrences.get<OccurrenceIdentity>(occurrence);
    const auto &state = work.occurrences.get<OccurrenceWork>(occurrence);
    ProgressRecord record;
    record.job = entry.jobs.table.get<JobIdentity>(identity.job).id;
    record.occurrence = identity.number;
    record.begun = state.begun;
    record.outcome = state.outcome;
    if (state.closed && state.liveRuns == 0) {
        return record;
    }
    for (const auto group : state.groups) {
        for (const auto task : work.groups.get<GroupState>(group).tasks) {
            const auto &it = work.tasks.get<TaskState>(task);
            TaskProgress row{it.phase, it.failures, it.lastRun, {}, it.checkpoint, it.crashWeight};
            if (it.run.isSet() && it.phase == TaskPhase::Placed) {
                const auto &run = work.runs.get<RunIdentity>(it.run);
                row.worker = entry.workers.table.get<WorkerIdentity>(run.worker).id;
                row.run = run.number; // lastRun may be higher, as run numbers are skipped after a rejected start
            }
            record.tasks.push_back(std::move(row));
        }
    }
    return record;
}

} // namespace flamingotally::dispatch
