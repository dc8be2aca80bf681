#include "policy/waiting.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

LogTime deadlineOf(const ProfileSpec &profileSpec, LogTime waitingSince)
{
    return profileSpec.maxWait.count() > 0 ? waitingSince + profileSpec.maxWait : LogTime::max();
}

/** Returns true if a job is a gang of which some waiting task may not start yet. */
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
        row.waitingSince = std::min(row.waitingSince, state.waitingSince);
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
        const auto &profileSpec = tables.jobs.get<JobSpec>(job).profileSpec;
        WaitingJob row;
        row.job = job;
        row.team = tables.jobs.get<JobIdentity>(job).team;
        row.urgency = profileSpec.urgency;
        row.kind = profileSpec.kind;
        row.waitingSince = LogTime::max();
        row.firstTask = static_cast<std::uint32_t>(waiting.tasks.size());
        collectTasks(waiting, row, tables, proposedTasks, now);
        if (row.taskCount == 0 || isIncompleteGang(row, state)) {
            waiting.tasks.resize(row.firstTask);
            return;
        }
        row.deadline = deadlineOf(profileSpec, row.waitingSince);
        waiting.jobs.push_back(row);
    });
}

} // namespace flamingotally
