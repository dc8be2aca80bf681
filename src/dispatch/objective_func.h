/** @file objective_func.h The critical path, objective and timeliness of a job, by its specification and policy. */
#pragma once

#include "dispatch/job_type.h"
#include "dispatch/queue_type.h"
#include "dispatch/work_base.h"

#include <vector>

namespace flamingotally::dispatch
{

/** An occurrence that takes longer than this multiple of its objective is too late to be useful. */
constexpr int usefulFactor = 3;

constexpr double coresPerAccelerator = 8; ///< Cores that one accelerator counts as in measures of use and work.
constexpr double smallestShare = 1e-6; ///< Smaller shares of teams count as this one, so that no quotient is infinite.
constexpr double milliPerCore = 1'000;

/** Returns an amount of resources in cores, with accelerators counted as cores. */
constexpr double coresOf(const Resources &amount)
{
    return static_cast<double>(amount.cpuMilli) / milliPerCore
        + coresPerAccelerator * static_cast<double>(amount.accelerators);
}

/** Returns, for each step, the estimated time of the longest chain of steps that begins with it. */
std::vector<Milliseconds> criticalPathsOf(const JobSpec &spec);

/** Returns the time within which an occurrence with the given critical paths of its steps should be done. */
Milliseconds objectiveOf(const JobPolicy &policy, const std::vector<Milliseconds> &criticalPaths);

/**
 * Returns the timeliness that an occurrence will have if one of its groups starts now.
 * @param objective Time after `dueAt` within which the occurrence should be done.
 * @param criticalPath Estimated time from the start of the group to the end of the occurrence.
 */
Timeliness timelinessOf(MonotonicTime dueAt, Milliseconds objective, Milliseconds criticalPath, MonotonicTime now);

} // namespace flamingotally::dispatch
