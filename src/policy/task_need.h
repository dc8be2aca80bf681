/** @file task_need.h Needs of waiting tasks, and the needs that did not fit during a plan. */
#pragma once

#include "policy/placement_policy.h"

namespace flamingotally
{

/**
 * Smallest needs that did not fit, none of which includes another. An amount that includes one of them does not fit
 * either.
 */
class FailedNeeds
{
public:
    /** Returns true if an amount is known not to fit. */
    bool covers(const Resources &amount) const;

    /** Adds an amount that did not fit. */
    void add(const Resources &amount);

private:
    std::vector<Resources> m_amounts;
};

/** Number of values of placementClassOf(). */
constexpr std::size_t placementClasses = 4;

/** Returns the class of a task: tasks of the same class and size may use the same workers. */
std::size_t placementClassOf(const TaskNeed &need);

/**
 * Counts the placed tasks of a job by failure domain, rack and worker.
 * @return Nothing if the job is not spread.
 */
std::optional<SpreadCounts> countSpread(const Tables &tables, const CapacityTable &capacities, JobRef job);

/** Returns the need of a waiting task. The counts have to outlive the result. */
TaskNeed needOf(const Tables &tables, const WaitingJob &job, TaskRef task, const std::optional<SpreadCounts> &counts);

/** Returns the need of a task that follows from its profile and its resources alone. */
TaskNeed needOf(const ProfileSpec &profileSpec, const Resources &amount);

} // namespace flamingotally
