#include "dispatch/work_func.h"

#include "dispatch/crash_func.h"
#include "dispatch/entry_func.h"
#include "dispatch/pool_load_func.h"
#include "dispatch/restart_func.h"
#include "dispatch/stage_func.h"
#include "dispatch/table/dispatch_table.h"
#include "dispatch/work_step.h"

#include <algorithm>
#include <utility>

namespace flamingotally::dispatch
{

namespace
{

/**
 * Sum of the weights of crashes at which a job fails: of three that came right after the start, or five others. Fewer
 * would fail harmless tasks when many workers crash for another cause.
 */
constexpr std::uint32_t maxCrashWeight = 5;

/**
 * Fails a job after a task or gang of one of its occurrences has reached the maximum number of failed runs or crashes.
 * @param cause Reason, for the log.
 */
void failJob(Entry &entry, OccurrenceRef occurrence, std::string_view cause, const TickTime &time)
{
    auto &state = entry.work.occurrences.get<OccurrenceWork>(occurrence);
    if (state.closed) {
        return;
    }
    const auto job = entry.work.occurrences.get<OccurrenceIdentity>(occurrence).job;
    state.outcome = OccurrenceOutcome::Failed;
    markDirty(entry.work, occurrence);
    logEvent(entry,
             EventKind::JobFailed,
             entry.jobs.table.get<JobIdentity>(job).id,
             "cause=\"{}\" max_attempts={}",
             cause,
             entry.jobs.table.get<JobPlan>(job).policy.maxAttempts);
    closeJob(entry, job, time);
}

constexpr std::string_view failedRunsCause("failed runs");

/** Releases the capacity of a run and removes it from the tables. */
void eraseRun(Entry &entry, RunRef run)
{
    auto &work = entry.work;
    const auto identity = work.runs.get<RunIdentity>(run);
    const auto &state = work.runs.get<RunState>(run);
    const auto group = work.tasks.get<TaskIdentity>(identity.task).group;
    const auto &step = stepOf(entry, group);
    auto &load = entry.workers.table.get<WorkerLoad>(identity.worker);
    load.used -= state.reservedOnWorker;
    load.usedByEndless -= step.endless ? state.reservedOnWorker : Resources{};
    load.latencyBoundRuns -= step.targetResponse.count() > 0 ? 1 : 0;
    load.bestEffortRuns -= step.bestEffort ? 1 : 0;
    std::erase(load.runs, run);
    const auto job = work.groups.get<GroupIdentity>(group).job;
    work.teamUse[entry.jobs.table.get<JobIdentity>(job).team] -= state.chargedToTeam;
    --work.occurrences.get<OccurrenceWork>(occurrenceOf(work, identity.task)).liveRuns;
    work.runByTask.erase(nameOf(entry, identity.task));
    work.tasks.get<TaskState>(identity.task).run = {};
    work.runs.erase(run);
    work.passRequested = true;
}

/** Makes a task wait for its next run, or drops it if its occurrence is closed. A task that is done stays done. */
void requeueTask(Entry &entry, TaskRef task, const TickTime &time)
{
    auto &work = entry.work;
    auto &state = work.tasks.get<TaskState>(task);
    const auto occurrence = occurrenceOf(work, task);
    if (state.phase == TaskPhase::Done) {
        markDirty(work, occurrence);
        return;
    }
    const bool isClosed = work.occurrences.get<OccurrenceWork>(occurrence).closed;
    state.phase = isClosed ? TaskPhase::Dropped : TaskPhase::Waiting;
    state.requeuedAt = time.now;
    markDirty(work, occurrence);
    if (!isClosed) {
        listGroup(work, work.tasks.get<TaskIdentity>(task).group);
    }
}

/** Notes that an occurrence has not begun after all, if its last placement was given up and no run has started. */
void giveUpBeginning(Work &work, OccurrenceRef occurrence)
{
    auto &state = work.occurrences.get<OccurrenceWork>(occurrence);
    if (state.liveRuns == 0 && !state.hasStarted) {
        state.begun = false;
        state.wasGivenUp = true;
    }
}

/** Marks a task as done. Opens the next groups or completes the occurrence, if all tasks of the group are done. */
void completeTask(Entry &entry, TaskRef task, const TickTime &time)
{
    auto &work = entry.work;
    auto &state = work.tasks.get<TaskState>(task);
    const auto group = work.tasks.get<TaskIdentity>(task).group;
    const auto occurrence = occurrenceOf(work, task);
    if (state.phase != TaskPhase::Done) {
        state.phase = TaskPhase::Done;
        state.checkpoint.clear();
        ++work.groups.get<GroupState>(group).done;
    }
    if (isDone(work, group)) {
        markDirty(work, occurrence);
        openGroups(entry, occurrence, time);
        completeIfDone(entry, occurrence, time);
    } else {
        deferWrite(entry, occurrence, time);
        prefetchAdvice(entry, occurrence);
    }
}

/** Counts a failed run of a task outside a gang; fails the job at the maximum. */
void countFailure(Entry &entry, TaskRef task, const TickTime &time)
{
    const auto group = entry.work.tasks.get<TaskIdentity>(task).group;
    auto &state = entry.work.tasks.get<TaskState>(task);
    if (++state.failures >= policyOf(entry, group).maxAttempts) {
        failJob(entry, occurrenceOf(entry.work, task), failedRunsCause, time);
    }
}

/** Forgets the crashes of which a task, or its gang, was suspected, after a run that lasted for long. */
void clearCrashes(Entry &entry, TaskRef task)
{
    auto &work = entry.work;
    const auto group = work.tasks.get<TaskIdentity>(task).group;
    work.tasks.get<TaskState>(task).crashWeight = 0;
    if (stepOf(entry, group).gang) {
        for (const auto it : work.groups.get<GroupState>(group).tasks) {
            work.tasks.get<TaskState>(it).crashWeight = 0;
        }
    }
}

/** Updates a task outside a gang after its run has ended. Endless tasks may fail any number of times. */
void endSingle(Entry &entry, TaskRef task, RunEnd how, const TickTime &time)
{
    const bool isEndless = stepOf(entry, entry.work.tasks.get<TaskIdentity>(task).group).endless;
    if (how == RunEnd::Done && !isEndless) {
        completeTask(entry, task, time);
        return;
    }
    if (how == RunEnd::Failed && !isEndless) {
        countFailure(entry, task, time);
    }
    requeueTask(entry, task, time);
}

/** Counts a failed run of a gang once for all members; fails the job at the maximum. */
void countGangFailure(Entry &entry, GroupRef group, RunNumber number, const TickTime &time)
{
    auto &state = entry.work.groups.get<GroupState>(group);
    if (state.failedRun == number) {
        return;
    }
    state.failedRun = number;
    ++state.failures;
    for (const auto it : state.tasks) {
        entry.work.tasks.get<TaskState>(it).failures = state.failures;
    }
    if (state.failures >= policyOf(entry, group).maxAttempts) {
        failJob(entry, entry.work.groups.get<GroupIdentity>(group).occurrence, failedRunsCause, time);
    }
}

/** Completes all tasks of a gang after one member is done, and stops the runs of the other members. */
void completeGang(Entry &entry, GroupRef group, const TickTime &time)
{
    const auto tasks = entry.work.groups.get<GroupState>(group).tasks;
    for (const auto it : tasks) {
        completeTask(entry, it, time);
    }
    for (const auto it : tasks) {
        if (const auto run = entry.work.tasks.get<TaskState>(it).run; run.isSet()) {
            stopRun(entry, run, time);
        }
    }
}

/** Finds a task by its name; unset when it is not in the active work. */
TaskRef findTask(const Entry &entry, const TaskName &name)
{
    const auto &work = entry.work;
    const auto job = entry.jobs.byId.find(name.job);
    const auto list = job == entry.jobs.byId.end() ? work.byJob.end() : work.byJob.find(job->second);
    if (list == work.byJob.end()) {
        return {};
    }
    const auto it = std::ranges::find_if(list->second, [&](OccurrenceRef occurrence) {
        return work.occurrences.get<OccurrenceIdentity>(occurrence).number == name.occurrence;
    });
    if (it == list->second.end()) {
        return {};
    }
    const auto &groups = work.occurrences.get<OccurrenceWork>(*it).groups;
    if (name.step >= groups.size()) {
        return {};
    }
    const auto &tasks = work.groups.get<GroupState>(groups[name.step]).tasks;
    return name.index < tasks.size() ? tasks[name.index] : TaskRef{};
}

/**
 * Updates a gang after the run of one member has ended: stops the others; one member that is done completes them all.
 */
void endMember(Entry &entry, TaskRef task, RunEnd how, RunNumber number, const TickTime &time)
{
    auto &work = entry.work;
    const auto group = work.tasks.get<TaskIdentity>(task).group;
    const auto tasks = work.groups.get<GroupState>(group).tasks;
    const bool isEndless = stepOf(entry, group).endless;
    if (how == RunEnd::Failed && !isEndless) {
        countGangFailure(entry, group, number, time);
    }
    if (how == RunEnd::Done && !isEndless) {
        completeGang(entry, group, time);
    }
    for (const auto it : tasks) {
        if (const auto run = work.tasks.get<TaskState>(it).run; run.isSet()) {
            stopRun(entry, run, time);
        }
    }
    if (work.tasks.get<TaskState>(task).phase != TaskPhase::Done) {
        requeueTask(entry, task, time);
    }
}

} // namespace

void endRun(Entry &entry, RunRef run, RunEnd how, const std::string &checkpoint, const TickTime &time)
{
    auto &work = entry.work;
    const auto identity = work.runs.get<RunIdentity>(run);
    const auto group = work.tasks.get<TaskIdentity>(identity.task).group;
    ++entry.counters.ends[static_cast<std::size_t>(how)];
    const auto name = nameOf(entry, identity.task);
    logEvent(entry,
             EventKind::RunEnded,
             name.job,
             "task={}.{}.{} run={} worker={} how={}",
             name.occurrence,
             name.step,
             name.index,
             identity.number,
             entry.workers.table.get<WorkerIdentity>(identity.worker).id,
             flamingotally::nameOf(runEndTable, how));
    if (how != RunEnd::LeaseExpired) {
        recordStart(entry, run);
    }
    if (isSettled(entry, run)) {
        clearCrashes(entry, identity.task);
    }
    if (how == RunEnd::Done) {
        recordStages(entry, run, time);
        recordDrain(entry, run, time);
    }
    if (isOwnEnd(how) && stepOf(entry, group).endless) {
        delayRestart(entry, run, time);
    }
    eraseRun(entry, run);
    if (!checkpoint.empty()) {
        work.tasks.get<TaskState>(identity.task).checkpoint = checkpoint;
    }
    if (how == RunEnd::Failed) {
        work.tasks.get<TaskState>(identity.task).avoidedWorker = identity.worker;
    }
    if (stepOf(entry, group).gang) {
        endMember(entry, identity.task, how, identity.number, time);
    } else {
        endSingle(entry, identity.task, how, time);
    }
}

void loseRun(Entry &entry, RunRef run, std::string_view cause, const TickTime &time)
{
    const auto identity = entry.work.runs.get<RunIdentity>(run);
    ++entry.counters.lostRuns;
    logEvent(entry,
             EventKind::RunLost,
             nameOf(entry, identity.task).job,
             "worker={} cause=\"{}\" phase={} silent_ms={}",
             entry.workers.table.get<WorkerIdentity>(identity.worker).id,
             cause,
             flamingotally::nameOf(runPhaseTable, entry.work.runs.get<RunState>(run).phase),
             (time.now - entry.workers.table.get<WorkerLink>(identity.worker).lastResponseAt).count());
    endRun(entry, run, RunEnd::LeaseExpired, {}, time);
}

void countCrash(Entry &entry, TaskRef task, RunNumber number, std::uint32_t weight, const TickTime &time)
{
    auto &work = entry.work;
    const auto group = work.tasks.get<TaskIdentity>(task).group;
    const auto occurrence = occurrenceOf(work, task);
    const bool isGang = stepOf(entry, group).gang;
    auto &state = work.tasks.get<TaskState>(task);
    auto &groupState = work.groups.get<GroupState>(group);
    const bool isCounted = isGang && std::exchange(groupState.crashedRun, number) == number;
    if (state.phase == TaskPhase::Done || work.occurrences.get<OccurrenceWork>(occurrence).closed || isCounted) {
        return;
    }
    state.crashWeight += weight;
    const auto sum = state.crashWeight;
    if (isGang) {
        for (const auto it : groupState.tasks) {
            work.tasks.get<TaskState>(it).crashWeight = sum;
        }
    }
    markDirty(work, occurrence);
    if (sum >= maxCrashWeight) {
        failJob(entry, occurrence, "crashed workers", time);
    }
}

void endUnknownRun(Entry &entry, const TaskName &name, const TickTime &time)
{
    const auto task = findTask(entry, name);
    if (!task.isSet() || entry.work.tasks.get<TaskState>(task).phase == TaskPhase::Done) {
        return;
    }
    const auto group = entry.work.tasks.get<TaskIdentity>(task).group;
    const auto &step = stepOf(entry, group);
    const auto occurrence = occurrenceOf(entry.work, task);
    if (step.endless || entry.work.occurrences.get<OccurrenceWork>(occurrence).closed) {
        return;
    }
    logEvent(entry,
             EventKind::RunEnded,
             name.job,
             "task={}.{}.{} how=done known=false",
             name.occurrence,
             name.step,
             name.index);
    if (step.gang) {
        completeGang(entry, group, time);
        return;
    }
    completeTask(entry, task, time);
    if (const auto run = entry.work.tasks.get<TaskState>(task).run; run.isSet()) {
        stopRun(entry, run, time);
    }
}

void discardRun(Entry &entry, RunRef run, const TickTime &time)
{
    const auto identity = entry.work.runs.get<RunIdentity>(run);
    const auto group = entry.work.tasks.get<TaskIdentity>(identity.task).group;
    eraseRun(entry, run);
    giveUpBeginning(entry.work, occurrenceOf(entry.work, identity.task));
    if (entry.work.tasks.get<TaskState>(identity.task).phase != TaskPhase::Done) {
        requeueTask(entry, identity.task, time);
    }
    if (!stepOf(entry, group).gang) {
        return;
    }
    const auto tasks = entry.work.groups.get<GroupState>(group).tasks;
    for (const auto it : tasks) {
        if (const auto other = entry.work.tasks.get<TaskState>(it).run; other.isSet()) {
            stopRun(entry, other, time);
        }
    }
}

void endAllRuns(Entry &entry, WorkerRef worker, std::string_view cause, const TickTime &time)
{
    recordCrash(entry, worker, time);
    const auto runs = entry.workers.table.get<WorkerLoad>(worker).runs;
    for (const auto run : runs) {
        if (entry.work.runs.contains(run)) {
            loseRun(entry, run, cause, time);
        }
    }
}

} // namespace flamingotally::dispatch
