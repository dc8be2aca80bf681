/** @file waiting.h Work that waits for a worker, as one plan sees it. */
#pragma once

#include "tables.h"

#include <absl/container/flat_hash_set.h>

namespace flamingotally
{

/** A row's address as one number, to be a key. */
template<typename Tag>
constexpr std::uint64_t keyOf(Ref<Tag> ref)
{
    return (static_cast<std::uint64_t>(ref.index) << 32) | ref.generation;
}

using TaskKeySet = absl::flat_hash_set<std::uint64_t>;

/** A job's tasks that may start now. They are alike, so they are queued as one. */
struct WaitingJob {
    JobRef job;
    TeamRef team;
    Urgency urgency = Urgency::Normal;
    WorkKind kind = WorkKind::Batch;
    LogTime since{}; ///< When the longest waiting of them began to wait.
    LogTime deadline{}; ///< When it is withdrawn; the end of time when never.
    std::uint32_t firstTask = 0; ///< Place of its first task in WaitingTable::tasks.
    std::uint32_t taskCount = 0;
};

/** All that waits. */
struct WaitingTable {
    std::vector<WaitingJob> jobs;
    std::vector<TaskRef> tasks; ///< A run of tasks for each job, by ordinal.
    LogTime nextBackoffEnd = LogTime::max(); ///< When the next task may start that may not yet.
};

/**
 * Collects what waits.
 * @param waiting Rows to fill; their memory is used again.
 * @param tables The replicated tables.
 * @param proposedTasks Tasks whose placement is proposed and not read back yet.
 * @param now Estimate of the log's clock.
 */
void collectWaiting(WaitingTable &waiting, const Tables &tables, const TaskKeySet &proposedTasks, LogTime now);

} // namespace flamingotally
