/** @file task_need.h Needs of waiting tasks, and the needs that did not fit during a plan. */
#pragma once

#include "policy/placement_policy.h"

namespace flamingotally
{

/**
 * Smallest amounts that did not fit during a plan. An amount that is at least as large in every resource as one of them
 * does not fit either.
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

/** Returns the class of a task. Tasks of the same class and size fit on the same workers, spreading aside. */
std::size_t placementClassOf(const TaskNeed &need);

/**
 * Counts the placed tasks of a job by failure domain, rack and worker.
 * @return Nothing if the job is not spread.
 */
std::optional<SpreadCounts> countSpread(const Tables &tables, const CapacityTable &capacities, JobRef job);

/** Returns the need of a waiting task. The result refers to `counts`, which have to outlive it. */
TaskNeed needOf(const Tables &tables, const WaitingJob &job, TaskRef task, const std::optional<SpreadCounts> &counts);

/** Returns the need of a task that follows from its profile and its resources alone. */
TaskNeed needOf(const ProfileSpec &profileSpec, const Resources &amount);

} // namespace flamingotally
