#include "dispatch/opening_func.h"

#include "dispatch/compaction_func.h"
#include "dispatch/entry_func.h"
#include "dispatch/host_limits.h"
#include "dispatch/objective_func.h"
#include "dispatch/work_func.h"
#include "dispatch/work_step.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace flamingotally::dispatch
{

namespace
{

constexpr std::uint64_t largeTasks = 1'000; ///< An occurrence with more tasks is large.

constexpr std::size_t bytesPerTask = sizeof(TaskIdentity) + sizeof(TaskState) + sizeof(TaskRef) + sizeof(TaskProgress);
constexpr std::size_t bytesPerGroup = sizeof(GroupIdentity) + sizeof(GroupState) + sizeof(GroupAdvice)
    + sizeof(GroupFaults) + sizeof(GroupRef) + sizeof(Milliseconds);
constexpr std::size_t bytesPerOccurrence =
    sizeof(OccurrenceIdentity) + sizeof(OccurrenceWork) + sizeof(OccurrenceProgress);

std::uint64_t taskCount(const JobSpec &spec)
{
    std::uint64_t sum = 0;
    for (const auto &step : spec.steps) {
        sum += step.count;
    }
    return sum;
}

std::size_t bytesOf(const OpenBytes &bytes, OpeningBudget budget)
{
    return bytes[static_cast<std::size_t>(budget)];
}

std::size_t &bytesOf(OpenBytes &bytes, OpeningBudget budget)
{
    return bytes[static_cast<std::size_t>(budget)];
}

/** Returns the budget that the next occurrence of a job counts against. */
OpeningBudget nextBudgetOf(const Entry &entry, JobRef job)
{
    if (entry.work.byJob.contains(job)) {
        return OpeningBudget::Further;
    }
    const bool isLarge = taskCount(entry.jobs.table.get<JobPlan>(job).spec) > largeTasks;
    return isLarge ? OpeningBudget::Large : OpeningBudget::First;
}

/** Returns true if the budgets allow another occurrence of a job. One that is larger than its budget is opened alone.
 */
bool mayOpen(const Entry &entry, JobRef job)
{
    const auto budget = nextBudgetOf(entry, job);
    const auto &row = rowOf(openingBudgetTable, budget);
    const auto limit = budgetBytes(entry.settings, budget);
    const auto bytes = rowBytesOf(entry.jobs.table.get<JobPlan>(job).spec);
    const auto fits = [bytes](std::size_t open, std::size_t bound) {
        return open == 0 || open + bytes <= bound;
    };
    const auto it = entry.work.byJob.find(job);
    const auto ofJob = it == entry.work.byJob.end() ? 0 : it->second.size() * bytes;
    const auto &rows = entry.work.openRows;
    const auto team = rows.byTeam.find(entry.jobs.table.get<JobIdentity>(job).team);
    const auto ofTeam = team == rows.byTeam.end() ? 0 : bytesOf(team->second, budget);
    return fits(ofJob, limit / row.jobPart) && fits(ofTeam, limit / row.teamPart)
        && fits(bytesOf(rows.total, budget), limit);
}

/** Counts the rows of an occurrence that is opened. */
void countRows(Entry &entry, JobRef job, OccurrenceWork &state)
{
    state.budget = nextBudgetOf(entry, job);
    state.rowBytes = rowBytesOf(entry.jobs.table.get<JobPlan>(job).spec);
    auto &rows = entry.work.openRows;
    bytesOf(rows.total, state.budget) += state.rowBytes;
    bytesOf(rows.byTeam[entry.jobs.table.get<JobIdentity>(job).team], state.budget) += state.rowBytes;
}

/** Takes the rows of an occurrence that is removed from the count. */
void releaseRows(Entry &entry, JobRef job, const OccurrenceWork &state)
{
    auto &rows = entry.work.openRows;
    bytesOf(rows.total, state.budget) -= state.rowBytes;
    const auto it = rows.byTeam.find(entry.jobs.table.get<JobIdentity>(job).team);
    bytesOf(it->second, state.budget) -= state.rowBytes;
    if (it->second == OpenBytes{}) {
        rows.byTeam.erase(it);
    }
}

/** Inserts the tasks of a group. */
void makeTasks(Work &work, GroupRef group, std::uint32_t count)
{
    std::vector<TaskRef> tasks;
    tasks.reserve(count);
    for (std::uint32_t n = 0; n < count; ++n) {
        tasks.push_back(work.tasks.insert({group, n}, {}));
    }
    work.groups.get<GroupState>(group).tasks = std::move(tasks);
}

/** Takes over a run that a previous owner placed. */
void adoptRun(Entry &entry, TaskRef task, const TaskProgress &progress, const TickTime &time)
{
    const auto worker = workerOf(entry, progress.worker);
    const auto run = placeTask(entry, task, worker, progress.run, time);
    auto &state = entry.work.runs.get<RunState>(run);
    state.phase = RunPhase::Unverified;
    state.firstSentAt = time.now;
}

/**
 * Sets the tasks of an occurrence to their progress in the journal, and takes over the runs of those that are placed.
 * @param rows Progress of the tasks, ordered by step and index; empty when the journal has none.
 */
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
            state.crashWeight = row.crashWeight;
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

/** Adds an occurrence to the active work, with its progress in the journal, and opens its first groups. */
void openOccurrence(Entry &entry, JobRef job, std::uint32_t number, MonotonicTime dueAt, const TickTime &time)
{
    auto &work = entry.work;
    const auto &spec = entry.jobs.table.get<JobPlan>(job).spec;
    const auto &progress = entry.jobs.table.get<JobState>(job).progress;
    const auto it = progress.find(number);
    const auto known = it == progress.end() ? OccurrenceProgress{} : it->second;
    OccurrenceWork state;
    state.dueAt = dueAt;
    state.begun = known.begun;
    state.hasStarted = known.begun;
    state.outcome = known.outcome;
    state.criticalPaths = criticalPathsOf(spec);
    state.objective = objectiveOf(entry.jobs.table.get<JobPlan>(job).policy, state.criticalPaths);
    state.openedAt = time.now;
    countRows(entry, job, state);
    const auto occurrence = work.occurrences.insert({job, number}, std::move(state));
    work.byJob[job].push_back(occurrence);
    for (std::uint32_t n = 0; n < spec.steps.size(); ++n) {
        const auto group = work.groups.insert({occurrence, job, n}, {}, {}, {});
        makeTasks(work, group, spec.steps[n].count);
        work.occurrences.get<OccurrenceWork>(occurrence).groups.push_back(group);
    }
    adoptProgress(entry, occurrence, known.tasks, time);
    openGroups(entry, occurrence, time);
    completeIfDone(entry, occurrence, time);
}

/** Returns when an occurrence is due; for a job without a schedule, when it was accepted, but not in the future. */
MonotonicTime dueAt(const Entry &entry, JobRef job, std::uint32_t number)
{
    const auto &repetition = entry.jobs.table.get<JobPlan>(job).spec.repetition;
    if (repetition.times == 0) {
        return std::min(entry.tickedAt, monotonicAt(entry, entry.jobs.table.get<JobIdentity>(job).acceptedAt));
    }
    return monotonicAt(entry, repetition.firstAt + repetition.interval * number);
}

/** Returns true if a run of the occurrence was numbered, and it has not ended: a late report must find its tasks. */
bool hasUnfinishedRuns(const OccurrenceProgress &progress)
{
    return progress.outcome == OccurrenceOutcome::None
        && std::ranges::any_of(progress.tasks, [](const TaskProgress &it) { return it.run > 0; });
}

bool hasPlacedTasks(const OccurrenceProgress &progress)
{
    return std::ranges::any_of(progress.tasks, [](const TaskProgress &it) { return it.phase == TaskPhase::Placed; });
}

/** Opens the occurrences of a job whose progress meets a condition. Returns their numbers. */
template<typename Predicate>
std::vector<std::uint32_t> openByProgress(Entry &entry, JobRef job, Predicate &&predicate, const TickTime &time)
{
    std::vector<std::uint32_t> opened;
    const auto &state = entry.jobs.table.get<JobState>(job);
    for (const auto &[number, progress] : state.progress) {
        if (predicate(progress)) {
            openOccurrence(entry, job, number, std::min(dueAt(entry, job, number), time.now), time);
            opened.push_back(number);
        }
    }
    return opened;
}

/** Logs once that a job waits for a budget. */
void logHeld(Entry &entry, UpcomingJob &upcoming)
{
    if (std::exchange(upcoming.heldLogged, true)) {
        return;
    }
    const auto budget = nextBudgetOf(entry, upcoming.job);
    const auto it = entry.work.byJob.find(upcoming.job);
    logEvent(entry,
             EventKind::JobHeld,
             entry.jobs.table.get<JobIdentity>(upcoming.job).id,
             "next_occurrence={} of={} open={} budget={} open_bytes={} budget_bytes={}",
             upcoming.next,
             entry.jobs.table.get<JobState>(upcoming.job).total,
             it == entry.work.byJob.end() ? 0 : it->second.size(),
             flamingotally::nameOf(openingBudgetTable, budget),
             bytesOf(entry.work.openRows.total, budget),
             budgetBytes(entry.settings, budget));
}

/** Opens the due occurrences of a job as far as the budgets allow. */
OpeningState openDue(Entry &entry, UpcomingJob &upcoming, const TickTime &time)
{
    const auto job = upcoming.job;
    if (!entry.jobs.table.contains(job) || hasEnded(entry.jobs.table.get<JobState>(job))) {
        return OpeningState::Done;
    }
    const auto &state = entry.jobs.table.get<JobState>(job);
    for (;; ++upcoming.next) {
        upcoming.next = state.completed.nextMissing(upcoming.next);
        if (upcoming.next >= state.total) {
            return OpeningState::Done;
        }
        if (std::ranges::binary_search(upcoming.adopted, upcoming.next)) {
            continue;
        }
        const auto due = dueAt(entry, job, upcoming.next);
        if (due > time.now) {
            entry.wakeBy(due);
            return OpeningState::Waits;
        }
        if (!mayOpen(entry, job)) {
            logHeld(entry, upcoming);
            return OpeningState::Held;
        }
        openOccurrence(entry, job, upcoming.next, due, time);
    }
}

} // namespace

std::size_t rowBytesOf(const JobSpec &spec)
{
    return bytesPerOccurrence + spec.steps.size() * bytesPerGroup + taskCount(spec) * bytesPerTask;
}

std::size_t budgetBytes(const EntrySettings &settings, OpeningBudget budget)
{
    return memoryBytes(settings) / rowOf(openingBudgetTable, budget).memoryPart;
}

void buildWork(Entry &entry, const TickTime &time)
{
    entry.work = {};
    entry.workers = {};
    entry.workers.asOf = time.now;
    entry.jobs.table.forEach([&](JobRef job) { openJob(entry, job, time); });
    openDueOccurrences(entry, time);
}

void openJob(Entry &entry, JobRef job, const TickTime &time)
{
    if (isCompact(entry.jobs.table.get<JobPlan>(job).spec)) {
        return; // it has ended, and no run of it was left
    }
    if (hasEnded(entry.jobs.table.get<JobState>(job))) {
        openByProgress(entry, job, hasPlacedTasks, time);
        closeJob(entry, job, time);
        noteFinishedJob(entry, job);
        return;
    }
    UpcomingJob upcoming{job, 0, {}, OpeningState::Waits, false};
    upcoming.adopted = openByProgress(entry, job, hasUnfinishedRuns, time);
    entry.work.upcoming.push_back(std::move(upcoming));
}

void openDueOccurrences(Entry &entry, const TickTime &time)
{
    auto &work = entry.work;
    const auto count = work.upcoming.size();
    for (std::size_t n = 0; n < count; ++n) {
        auto &it = work.upcoming[(work.firstUpcoming + n) % count];
        it.state = openDue(entry, it, time);
    }
    std::erase_if(work.upcoming, [](const UpcomingJob &it) { return it.state == OpeningState::Done; });
    work.firstUpcoming = work.upcoming.empty() ? 0 : (work.firstUpcoming + 1) % work.upcoming.size();
}

void eraseOccurrence(Entry &entry, OccurrenceRef occurrence)
{
    auto &work = entry.work;
    const auto &state = work.occurrences.get<OccurrenceWork>(occurrence);
    const auto job = work.occurrences.get<OccurrenceIdentity>(occurrence).job;
    for (const auto group : state.groups) {
        for (const auto task : work.groups.get<GroupState>(group).tasks) {
            work.tasks.erase(task);
        }
        work.groups.erase(group);
    }
    releaseRows(entry, job, state);
    if (const auto it = work.byJob.find(job); it != work.byJob.end()) {
        std::erase(it->second, occurrence);
        if (it->second.empty()) {
            work.byJob.erase(it);
        }
    }
    work.occurrences.erase(occurrence);
}

std::size_t openRowBytes(const Entry &entry)
{
    const auto &bytes = entry.work.openRows.total;
    return std::accumulate(bytes.begin(), bytes.end(), std::size_t{0});
}

std::size_t heldJobs(const Entry &entry)
{
    return static_cast<std::size_t>(std::ranges::count(entry.work.upcoming, OpeningState::Held, &UpcomingJob::state));
}

} // namespace flamingotally::dispatch
