/** @file worker_health.h Finds workers on which tasks fail, as distinct from jobs that fail on every worker. */
#pragma once

#include "node_base.h"

namespace flamingotally
{

/** Failures that count against a worker. */
struct WorkerFailures {
    std::uint32_t failedTasks = 0; ///< Tasks whose last failure was on the worker; without jobs that fail everywhere.
};

/**
 * Counts the tasks that failed on each worker. If a job fails everywhere, the failures are blamed on the job: its tasks
 * are not counted against any worker.
 * @return One row for each slot of the worker table, by worker index.
 */
std::vector<WorkerFailures> countFailedTasks(const Tables &tables);

/**
 * Proposes to set aside workers of this daemon if their failure rate is far above the rate of the other workers. Only a
 * fixed part of all workers can be set aside. Also proposes to return workers to service after successful probes.
 */
void updateWorkerHealth(Node &node, const TickTime &time);

} // namespace flamingotally
