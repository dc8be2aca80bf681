/** @file worker_health.h Finds workers on which tasks fail, as distinct from jobs that fail on every worker. */
#pragma once

#include "node_base.h"

namespace flamingotally
{

/** Evidence that a worker is faulty. */
struct WorkerEvidence {
    std::uint32_t failedTasks = 0; ///< Tasks that last failed on the worker, of jobs that do not fail everywhere.
};

/**
 * Collects the evidence against each worker. A job whose tasks fail on several workers and succeed on none is taken to
 * be faulty itself and is not counted against the workers.
 * @return One row for each slot of the worker table, by worker index.
 */
std::vector<WorkerEvidence> collectEvidence(const Tables &tables);

/**
 * Proposes to set aside workers of this daemon whose failure rate is far above that of the other workers, up to a fixed
 * part of all workers, and to return those to service whose probes have succeeded.
 */
void updateWorkerHealth(Node &node, const TickTime &time);

} // namespace flamingotally
