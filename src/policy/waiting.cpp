#include "policy/waiting.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

LogTime deadlineOf(const ProfileSpec &treatment, LogTime since)
{
    return treatment.maxWait.count() > 0 ? since + treatment.maxWait : LogTime::max();
}

/** Returns true for a gang of which some task may not start yet. */
bool isIncompleteGang(const WaitingJob &row, const JobState &state)
{
    return row.kind == WorkKind::Gang && row.taskCount < state.waiting;
}

/** Appends the tasks of a job that may start now, and updates the end of the next backoff. */
void collectTasks(
    WaitingTable &waiting, WaitingJob &row, const Tables &tables, const TaskKeySet &proposedTasks, LogTime now)
{
    for (const auto task : tables.jobs.get<JobState>(row.job).tasks) {
        const auto &state = tables.tasks.get<TaskState>(task);
        if (state.phase != TaskPhase::Waiting || proposedTasks.contains(keyOf(task))) {
            continue;
        }
        if (state.notBefore > now) {
            waiting.nextBackoffEnd = std::min(waiting.nextBackoffEnd, state.notBefore);
            continue;
        }
        row.since = std::min(row.since, state.waitingSince);
        waiting.tasks.push_back(task);
        ++row.taskCount;
    }
}

} // namespace

void collectWaiting(WaitingTable &waiting, const Tables &tables, const TaskKeySet &proposedTasks, LogTime now)
{
    waiting.jobs.clear();
    waiting.tasks.clear();
    waiting.nextBackoffEnd = LogTime::max();
    tables.jobs.forEach([&](JobRef job) {
        const auto &state = tables.jobs.get<JobState>(job);
        if (state.waiting == 0 || state.cancelled) {
            return;
        }
        const auto &treatment = tables.jobs.get<JobSpec>(job).treatment;
        WaitingJob row;
        row.job = job;
        row.team = tables.jobs.get<JobIdentity>(job).team;
        row.urgency = treatment.urgency;
        row.kind = treatment.kind;
        row.since = LogTime::max();
        row.firstTask = static_cast<std::uint32_t>(waiting.tasks.size());
        collectTasks(waiting, row, tables, proposedTasks, now);
        if (row.taskCount == 0 || isIncompleteGang(row, state)) {
            waiting.tasks.resize(row.firstTask);
            return;
        }
        row.deadline = deadlineOf(treatment, row.since);
        waiting.jobs.push_back(row);
    });
}

} // namespace flamingotally
