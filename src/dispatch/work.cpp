#include "dispatch/work_func.h"

#include "dispatch/entry_func.h"
#include "dispatch/table/dispatch_table.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

void markDirty(Work &work, OccurrenceRef occurrence)
{
    auto &state = work.occurrences.get<OccurrenceWork>(occurrence);
    if (!state.dirty) {
        state.dirty = true;
        work.dirty.push_back(occurrence);
    }
}

void listGroup(Work &work, GroupRef group)
{
    auto &state = work.groups.get<GroupState>(group);
    if (state.open && !state.listed) {
        state.listed = true;
        work.waiting.push_back(group);
    }
    work.changed = true;
}

OccurrenceRef occurrenceOf(const Work &work, TaskRef task)
{
    const auto group = work.tasks.get<TaskIdentity>(task).group;
    return work.groups.get<GroupIdentity>(group).occurrence;
}

bool isDone(const Work &work, GroupRef group)
{
    const auto &state = work.groups.get<GroupState>(group);
    return state.done == state.tasks.size();
}

/** Opens the groups of an occurrence whose earlier steps are done. */
void openGroups(Entry &entry, OccurrenceRef occurrence, const TickTime &time)
{
    auto &work = entry.work;
    const auto &state = work.occurrences.get<OccurrenceWork>(occurrence);
    if (state.closed) {
        return;
    }
    const auto &steps =
        entry.jobs.table.get<JobPlan>(work.occurrences.get<OccurrenceIdentity>(occurrence).job).spec.steps;
    for (std::size_t n = 0; n < steps.size(); ++n) {
        auto &group = work.groups.get<GroupState>(state.groups[n]);
        const bool isFree = std::ranges::all_of(
            steps[n].after, [&](std::uint32_t earlier) { return isDone(work, state.groups[earlier]); });
        if (!group.open && isFree) {
            group.open = true;
            group.openedAt = time.now;
            listGroup(work, state.groups[n]);
        }
    }
}

/** Ends an occurrence when all its groups are done. */
void completeIfDone(Entry &entry, OccurrenceRef occurrence)
{
    auto &work = entry.work;
    auto &state = work.occurrences.get<OccurrenceWork>(occurrence);
    if (state.closed || !std::ranges::all_of(state.groups, [&](GroupRef it) { return isDone(work, it); })) {
        return;
    }
    state.closed = true;
    state.outcome = OccurrenceOutcome::Completed;
    const auto &identity = work.occurrences.get<OccurrenceIdentity>(occurrence);
    const auto job = entry.jobs.table.get<JobIdentity>(identity.job).id;
    note(entry, EventKind::JobCompleted, job, "occurrence={}", identity.number);
}

/** Fails a job one of whose tasks has used up its attempts. */
void failJob(Entry &entry, OccurrenceRef occurrence, const TickTime &time)
{
    auto &state = entry.work.occurrences.get<OccurrenceWork>(occurrence);
    if (state.closed) {
        return;
    }
    const auto job = entry.work.occurrences.get<OccurrenceIdentity>(occurrence).job;
    state.outcome = OccurrenceOutcome::Failed;
    markDirty(entry.work, occurrence);
    note(entry,
         EventKind::JobFailed,
         entry.jobs.table.get<JobIdentity>(job).id,
         "max_attempts={}",
         entry.jobs.table.get<JobPlan>(job).treatment.maxAttempts);
    closeJob(entry, job, time);
}

void makeTasks(Work &work, GroupRef group, std::uint32_t count)
{
    std::vector<TaskRef> tasks;
    tasks.reserve(count);
    for (std::uint32_t n = 0; n < count; ++n) {
        tasks.push_back(work.tasks.insert({group, n}, {}));
    }
    work.groups.get<GroupState>(group).tasks = std::move(tasks);
}

/** Takes over a run that an earlier owner placed. */
void adoptRun(Entry &entry, TaskRef task, const TaskProgress &progress, const TickTime &time)
{
    const auto worker = workerOf(entry, progress.worker);
    const auto run = placeTask(entry, task, worker, progress.run, time);
    entry.work.runs.get<RunState>(run).phase = RunPhase::Unverified;
}

/** Sets the tasks of an occurrence as the journal has them. */
void adoptProgress(Entry &entry, OccurrenceRef occurrence, const std::vector<TaskProgress> &rows, const TickTime &time)
{
    auto &work = entry.work;
    std::size_t n = 0;
    for (const auto group : work.occurrences.get<OccurrenceWork>(occurrence).groups) {
        const auto tasks = work.groups.get<GroupState>(group).tasks;
        for (const auto task : tasks) {
            if (n == rows.size()) {
                return;
            }
            const auto &row = rows[n++];
            auto &state = work.tasks.get<TaskState>(task);
            state.failures = row.failures;
            state.lastRun = row.run;
            state.checkpoint = row.checkpoint;
            auto &groupState = work.groups.get<GroupState>(group);
            groupState.failures = std::max(groupState.failures, row.failures);
            if (row.phase == TaskPhase::Done) {
                state.phase = TaskPhase::Done;
                ++groupState.done;
            } else if (row.phase == TaskPhase::Placed) {
                adoptRun(entry, task, row, time);
            }
        }
    }
}

/** Longest chain of estimated work that begins with each step. */
std::vector<Milliseconds> chainsOf(const JobSpec &spec)
{
    std::vector<Milliseconds> chains(spec.steps.size(), Milliseconds{0});
    for (std::size_t n = spec.steps.size(); n-- > 0;) {
        chains[n] += spec.steps[n].runEstimate;
        for (const auto earlier : spec.steps[n].after) {
            chains[earlier] = std::max(chains[earlier], chains[n]);
        }
    }
    return chains;
}

void openOccurrence(Entry &entry, JobRef job, std::uint32_t number, MonotonicTime dueAt, const TickTime &time)
{
    auto &work = entry.work;
    const auto &spec = entry.jobs.table.get<JobPlan>(job).spec;
    OccurrenceWork state;
    state.dueAt = dueAt;
    const auto &known = entry.jobs.table.get<JobState>(job).occurrences[number];
    state.begun = known.begun;
    state.outcome = known.outcome;
    state.chains = chainsOf(spec);
    const auto occurrence = work.occurrences.insert({job, number}, std::move(state));
    work.byJob[job].push_back(occurrence);
    for (std::uint32_t n = 0; n < spec.steps.size(); ++n) {
        const auto group = work.groups.insert({occurrence, job, n}, {}, {});
        makeTasks(work, group, spec.steps[n].count);
        work.occurrences.get<OccurrenceWork>(occurrence).groups.push_back(group);
    }
    adoptProgress(entry, occurrence, known.tasks, time);
    openGroups(entry, occurrence, time);
    completeIfDone(entry, occurrence);
}

/** When an occurrence may begin; for jobs without times when they were accepted. */
MonotonicTime dueAt(const Entry &entry, JobRef job, std::uint32_t number)
{
    const auto &repetition = entry.jobs.table.get<JobPlan>(job).spec.repetition;
    if (repetition.times == 0) {
        return std::min(entry.tickedAt, monotonicAt(entry, entry.jobs.table.get<JobIdentity>(job).acceptedAt));
    }
    return monotonicAt(entry, repetition.firstAt + repetition.interval * number);
}

/** Frees what a run holds and takes it out of the tables. */
void eraseRun(Entry &entry, RunRef run)
{
    auto &work = entry.work;
    const auto identity = work.runs.get<RunIdentity>(run);
    const auto &state = work.runs.get<RunState>(run);
    const auto group = work.tasks.get<TaskIdentity>(identity.task).group;
    const auto &step = stepOf(entry, group);
    auto &room = entry.workers.table.get<WorkerRoom>(identity.worker);
    room.used -= state.held;
    room.serving -= step.targetResponse.count() > 0 ? 1 : 0;
    room.filling -= step.fills ? 1 : 0;
    std::erase(room.runs, run);
    const auto job = work.groups.get<GroupIdentity>(group).job;
    work.teamUse[entry.jobs.table.get<JobIdentity>(job).team] -= state.charged;
    --work.occurrences.get<OccurrenceWork>(occurrenceOf(work, identity.task)).live;
    work.runByTask.erase(nameOf(entry, identity.task));
    work.tasks.get<TaskState>(identity.task).run = {};
    work.runs.erase(run);
    work.changed = true;
}

/** Lets a task wait for its next run. */
void returnTask(Entry &entry, TaskRef task)
{
    auto &work = entry.work;
    auto &state = work.tasks.get<TaskState>(task);
    const auto occurrence = occurrenceOf(work, task);
    const bool isClosed = work.occurrences.get<OccurrenceWork>(occurrence).closed;
    state.phase = isClosed ? TaskPhase::Dropped : TaskPhase::Waiting;
    markDirty(work, occurrence);
    if (!isClosed) {
        listGroup(work, work.tasks.get<TaskIdentity>(task).group);
    }
}

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
    markDirty(work, occurrence);
    if (isDone(work, group)) {
        openGroups(entry, occurrence, time);
        completeIfDone(entry, occurrence);
    }
}

/** Counts a failed run of a task that stands alone; fails the job at its last attempt. */
void countFailure(Entry &entry, TaskRef task, const TickTime &time)
{
    const auto group = entry.work.tasks.get<TaskIdentity>(task).group;
    if (stepOf(entry, group).endless) {
        return;
    }
    auto &state = entry.work.tasks.get<TaskState>(task);
    if (++state.failures >= treatmentOf(entry, group).maxAttempts) {
        failJob(entry, occurrenceOf(entry.work, task), time);
    }
}

/** Ends the run of a task that stands alone. */
void endSingle(Entry &entry, TaskRef task, RunEnd how, const TickTime &time)
{
    const auto group = entry.work.tasks.get<TaskIdentity>(task).group;
    if (how == RunEnd::Done && !stepOf(entry, group).endless) {
        completeTask(entry, task, time);
        return;
    }
    if (how == RunEnd::Failed) {
        countFailure(entry, task, time);
    }
    returnTask(entry, task);
}

/** Counts a failed run of a gang, once for all members. */
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
    if (state.failures >= treatmentOf(entry, group).maxAttempts && !stepOf(entry, group).endless) {
        failJob(entry, entry.work.groups.get<GroupIdentity>(group).occurrence, time);
    }
}

/** Ends one member of a gang: the others end with it. */
void endMember(Entry &entry, TaskRef task, RunEnd how, RunNumber number, const TickTime &time)
{
    auto &work = entry.work;
    const auto group = work.tasks.get<TaskIdentity>(task).group;
    const auto tasks = work.groups.get<GroupState>(group).tasks;
    if (how == RunEnd::Failed) {
        countGangFailure(entry, group, number, time);
    }
    if (how == RunEnd::Done) {
        for (const auto it : tasks) {
            completeTask(entry, it, time);
        }
    }
    for (const auto it : tasks) {
        if (const auto run = work.tasks.get<TaskState>(it).run; run.isSet()) {
            stopRun(entry, run, time);
        }
    }
    if (work.tasks.get<TaskState>(task).phase != TaskPhase::Done) {
        returnTask(entry, task);
    }
}

} // namespace

const StepSpec &stepOf(const Entry &entry, GroupRef group)
{
    const auto &identity = entry.work.groups.get<GroupIdentity>(group);
    return entry.jobs.table.get<JobPlan>(identity.job).spec.steps[identity.step];
}

const Treatment &treatmentOf(const Entry &entry, GroupRef group)
{
    return entry.jobs.table.get<JobPlan>(entry.work.groups.get<GroupIdentity>(group).job).treatment;
}

TaskName nameOf(const Entry &entry, TaskRef task)
{
    const auto &work = entry.work;
    const auto &identity = work.tasks.get<TaskIdentity>(task);
    const auto &group = work.groups.get<GroupIdentity>(identity.group);
    const auto number = work.occurrences.get<OccurrenceIdentity>(group.occurrence).number;
    return {entry.jobs.table.get<JobIdentity>(group.job).id, number, group.step, identity.index};
}

Resources roomOf(const StepSpec &step)
{
    auto room = step.perTask;
    if (step.fills) {
        room.cpuMilli = 0;
    }
    return room;
}

void buildWork(Entry &entry, const TickTime &time)
{
    entry.work = {};
    entry.workers = {};
    entry.jobs.table.forEach([&](JobRef job) { openJob(entry, job, time); });
    openDueOccurrences(entry, time);
}

void openJob(Entry &entry, JobRef job, const TickTime &time)
{
    if (hasEnded(entry.jobs.table.get<JobState>(job))) {
        const auto &state = entry.jobs.table.get<JobState>(job);
        for (std::uint32_t n = 0; n < state.occurrences.size(); ++n) {
            const auto &rows = state.occurrences[n].tasks;
            const bool hasPlaced =
                std::ranges::any_of(rows, [](const TaskProgress &it) { return it.phase == TaskPhase::Placed; });
            if (hasPlaced) {
                openOccurrence(entry, job, n, time.now, time);
            }
        }
        closeJob(entry, job, time);
        return;
    }
    entry.work.upcoming.emplace_back(job, 0);
}

void openDueOccurrences(Entry &entry, const TickTime &time)
{
    auto &upcoming = entry.work.upcoming;
    for (std::size_t n = 0; n < upcoming.size();) {
        auto &[job, number] = upcoming[n];
        const bool isLive = entry.jobs.table.contains(job) && !hasEnded(entry.jobs.table.get<JobState>(job));
        const auto &state = entry.jobs.table.get<JobState>(job);
        while (isLive && number < state.occurrences.size()) {
            const auto due = dueAt(entry, job, number);
            if (due > time.now && !state.occurrences[number].begun) {
                entry.wakeBy(due);
                break;
            }
            const auto current = number++;
            if (state.occurrences[current].outcome == OccurrenceOutcome::None) {
                openOccurrence(entry, job, current, std::min(due, time.now), time);
            }
        }
        if (!isLive || number >= state.occurrences.size()) {
            upcoming[n] = upcoming.back();
            upcoming.pop_back();
        } else {
            ++n;
        }
    }
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
        link.leaseOverAt = formerLeasesOverAt(entry);
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
    run.held = roomOf(step);
    run.charged = step.perTask;
    run.movedAt = time.now;
    const auto ref = work.runs.insert({task, worker, number}, run);
    auto &state = work.tasks.get<TaskState>(task);
    state.phase = TaskPhase::Placed;
    state.run = ref;
    state.lastRun = number;
    auto &room = entry.workers.table.get<WorkerRoom>(worker);
    room.used += run.held;
    room.serving += step.targetResponse.count() > 0 ? 1 : 0;
    room.filling += step.fills ? 1 : 0;
    room.runs.push_back(ref);
    const auto job = work.groups.get<GroupIdentity>(group).job;
    work.teamUse[entry.jobs.table.get<JobIdentity>(job).team] += run.charged;
    work.runByTask[nameOf(entry, task)] = ref;
    const auto occurrence = occurrenceOf(work, task);
    auto &occurrenceState = work.occurrences.get<OccurrenceWork>(occurrence);
    occurrenceState.begun = true;
    ++occurrenceState.live;
    markDirty(work, occurrence);
    return ref;
}

void stopRun(Entry &entry, RunRef run, const TickTime &time)
{
    auto &state = entry.work.runs.get<RunState>(run);
    if (state.phase == RunPhase::Planned) {
        forgetRun(entry, run, time);
        return;
    }
    if (state.phase != RunPhase::Stopping) {
        state.phase = RunPhase::Stopping;
        state.stopTaken = false;
        state.inFlight = false;
        state.sendAt = time.now;
    }
}

void endRun(Entry &entry, RunRef run, RunEnd how, const std::string &checkpoint, const TickTime &time)
{
    auto &work = entry.work;
    const auto identity = work.runs.get<RunIdentity>(run);
    const auto group = work.tasks.get<TaskIdentity>(identity.task).group;
    ++entry.counters.ends[static_cast<std::size_t>(how)];
    const auto name = nameOf(entry, identity.task);
    note(entry,
         EventKind::RunEnded,
         name.job,
         "task={}.{}.{} run={} worker={} how={}",
         name.occurrence,
         name.step,
         name.index,
         identity.number,
         entry.workers.table.get<WorkerIdentity>(identity.worker).id,
         flamingotally::nameOf(runEndTable, how));
    eraseRun(entry, run);
    if (!checkpoint.empty()) {
        work.tasks.get<TaskState>(identity.task).checkpoint = checkpoint;
    }
    if (how == RunEnd::Failed) {
        work.tasks.get<TaskState>(identity.task).avoid = identity.worker;
    }
    if (stepOf(entry, group).gang) {
        endMember(entry, identity.task, how, identity.number, time);
    } else {
        endSingle(entry, identity.task, how, time);
    }
}

void forgetRun(Entry &entry, RunRef run, const TickTime &time)
{
    const auto identity = entry.work.runs.get<RunIdentity>(run);
    const auto group = entry.work.tasks.get<TaskIdentity>(identity.task).group;
    eraseRun(entry, run);
    if (entry.work.tasks.get<TaskState>(identity.task).phase != TaskPhase::Done) {
        returnTask(entry, identity.task);
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
    const auto runs = entry.workers.table.get<WorkerRoom>(worker).runs;
    for (const auto run : runs) {
        if (!entry.work.runs.contains(run)) {
            continue;
        }
        const auto task = entry.work.runs.get<RunIdentity>(run).task;
        ++entry.counters.lostRuns;
        note(entry,
             EventKind::RunLost,
             nameOf(entry, task).job,
             "worker={} cause={}",
             entry.workers.table.get<WorkerIdentity>(worker).id,
             cause);
        endRun(entry, run, RunEnd::Lapsed, {}, time);
    }
}

void eraseOccurrence(Entry &entry, OccurrenceRef occurrence)
{
    auto &work = entry.work;
    for (const auto group : work.occurrences.get<OccurrenceWork>(occurrence).groups) {
        for (const auto task : work.groups.get<GroupState>(group).tasks) {
            work.tasks.erase(task);
        }
        work.groups.erase(group);
    }
    const auto job = work.occurrences.get<OccurrenceIdentity>(occurrence).job;
    if (const auto it = work.byJob.find(job); it != work.byJob.end()) {
        std::erase(it->second, occurrence);
        if (it->second.empty()) {
            work.byJob.erase(it);
        }
    }
    work.occurrences.erase(occurrence);
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
    if (state.closed && state.live == 0) {
        return record;
    }
    for (const auto group : state.groups) {
        for (const auto task : work.groups.get<GroupState>(group).tasks) {
            const auto &it = work.tasks.get<TaskState>(task);
            TaskProgress row{it.phase, it.failures, it.lastRun, {}, it.checkpoint};
            if (it.run.isSet() && it.phase == TaskPhase::Placed) {
                const auto worker = work.runs.get<RunIdentity>(it.run).worker;
                row.worker = entry.workers.table.get<WorkerIdentity>(worker).id;
            }
            record.tasks.push_back(std::move(row));
        }
    }
    return record;
}

} // namespace flamingotally::dispatch
