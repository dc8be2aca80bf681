#include "attempt_func.h"
#include "query_func.h"

#include <algorithm>
#include <array>

namespace flamingotally
{

namespace
{

/** Returns the first waiting task of a job; unset when no task waits. */
TaskRef firstWaitingTask(const Tables &tables, const JobState &state)
{
    const auto it = std::ranges::find_if(
        state.tasks, [&](TaskRef task) { return tables.tasks.get<TaskState>(task).phase == TaskPhase::Waiting; });
    return it == state.tasks.end() ? TaskRef{} : *it;
}

/**
 * Returns the reason why a task cannot be placed on a worker now: `ImpossibleSize` when the task needs more than the
 * total capacity of the worker, `None` when it can be placed.
 */
Reason reasonOnWorker(const Tables &tables, TaskRef task, WorkerRef worker, const Resources &perTask)
{
    if (!perTask.fitsInto(tables.workers.get<WorkerCapacity>(worker).total)) {
        return Reason::ImpossibleSize;
    }
    return testPlacement(tables, {task, worker}, {});
}

/** Counts the workers by the reason against placing a task on them, in descending order of the count. */
std::vector<ExplainRow> explainWorkers(const Tables &tables, TaskRef task, const Resources &perTask)
{
    std::array<std::uint32_t, static_cast<std::size_t>(Reason::End)> counts{};
    tables.workers.forEach(
        [&](WorkerRef it) { ++counts[static_cast<std::size_t>(reasonOnWorker(tables, task, it, perTask))]; });
    std::vector<ExplainRow> rows;
    for (std::size_t n = 0; n < counts.size(); ++n) {
        if (counts[n] > 0) {
            rows.push_back({static_cast<Reason>(n), counts[n]});
        }
    }
    std::ranges::stable_sort(rows, std::ranges::greater{}, &ExplainRow::workers);
    return rows;
}

} // namespace

ExplainView explainJob(const Tables &tables, JobRef job, LogTime now)
{
    const auto &identity = tables.jobs.get<JobIdentity>(job);
    const auto &spec = tables.jobs.get<JobSpec>(job);
    const auto &state = tables.jobs.get<JobState>(job);
    ExplainView view;
    view.id = identity.request;
    view.outcome = state.outcome;
    view.waiting = state.waiting;
    view.placed = state.placed;
    view.perTask = spec.perTask;
    if (tables.teams.contains(identity.team)) {
        view.team = tables.teams.get<TeamIdentity>(identity.team).name;
        view.teamRunning = tables.teams.get<TeamUsage>(identity.team).running;
        view.teamLimit = tables.teams.get<TeamPolicy>(identity.team).limit;
    }
    if (const auto task = firstWaitingTask(tables, state); task.isSet()) {
        view.pause = std::max(tables.tasks.get<TaskState>(task).notBefore - now, Milliseconds{0});
        view.rows = explainWorkers(tables, task, spec.perTask);
    }
    return view;
}

} // namespace flamingotally
