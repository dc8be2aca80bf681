/** @file waiting.h Waiting work during one plan. */
#pragma once

#include "tables.h"

#include <absl/container/flat_hash_set.h>

namespace flamingotally
{

/** Returns a row reference as one number, for use as a key. */
template<typename Tag>
constexpr std::uint64_t keyOf(Ref<Tag> ref)
{
    return (static_cast<std::uint64_t>(ref.index) << 32) | ref.generation;
}

/** Set of tasks, by keyOf() the task. */
using TaskKeySet = absl::flat_hash_set<std::uint64_t>;

/** Tasks of a job that may start now. They have the same needs, so they are queued together. */
struct WaitingJob {
    JobRef job;
    TeamRef team;
    Urgency urgency = Urgency::Normal;
    WorkKind kind = WorkKind::Batch;
    LogTime waitingSince{}; ///< When the task that has waited longest began to wait.
    LogTime deadline{}; ///< When the tasks are withdrawn; LogTime::max() if never.
    std::uint32_t firstTask = 0; ///< Index of the first task in WaitingTable::tasks.
    std::uint32_t taskCount = 0;
};

/** All waiting work. */
struct WaitingTable {
    std::vector<WaitingJob> jobs;
    std::vector<TaskRef> tasks; ///< The tasks of each job together, by ordinal.
    LogTime nextBackoffEnd = LogTime::max(); ///< When the next task in backoff may start; LogTime::max() for none.
};

/**
 * Collects the tasks that wait and may start now.
 * @param waiting Tables to fill; their memory is reused.
 * @param tables The replicated tables.
 * @param proposedTasks Tasks whose placement or withdrawal is proposed and not read back yet.
 * @param now Estimate of the log's clock.
 */
void collectWaiting(WaitingTable &waiting, const Tables &tables, const TaskKeySet &proposedTasks, LogTime now);

} // namespace flamingotally
