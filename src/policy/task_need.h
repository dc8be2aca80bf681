/** @file task_need.h What a waiting task needs of a worker, and which needs a plan has found no room for. */
#pragma once

#include "policy/placement_policy.h"

namespace flamingotally
{

/** Needs that found no room, none larger than another: whatever is as large as one of them finds none either. */
class SmallestNeeds
{
public:
    bool covers(const Resources &amount) const;
    void add(const Resources &amount);

private:
    std::vector<Resources> m_amounts;
};

/** Number of kinds of tasks that may use different workers. */
constexpr std::size_t failureClasses = 4;

/** Kind of a task: those of one kind and of one size find room on the same workers. */
std::size_t failureClassOf(const TaskNeed &need);

/**
 * Counts where the tasks of a job stand.
 * @return Nothing when the job is not spread.
 */
std::optional<SpreadCounts> countSpread(const Tables &tables, const RoomTable &rooms, JobRef job);

/** What a waiting task needs. */
TaskNeed needOf(const Tables &tables, const WaitingJob &job, TaskRef task, const std::optional<SpreadCounts> &counts);

/** What a task needs by the way its profile treats it. */
TaskNeed needOf(const ProfileSpec &profileSpec, const Resources &amount);

} // namespace flamingotally
