/** @file worker_health.h Which workers fail what they start, told apart from jobs that fail everywhere. */
#pragma once

#include "node_base.h"

namespace flamingotally
{

/** What speaks against a worker. */
struct WorkerEvidence {
    std::uint32_t failedTasks = 0; ///< Tasks that last failed there, of jobs that do not fail everywhere.
};

/**
 * Collects what speaks against each worker. A job whose tasks fail on several workers and nowhere succeed speaks
 * against itself, not against them.
 * @return One row a place of the worker table.
 */
std::vector<WorkerEvidence> collectEvidence(const Tables &tables);

/**
 * Sets aside this daemon's workers whose failure rate stands out against the fleet's, a part of the fleet at most, and
 * puts back those that have proved themselves.
 */
void judgeWorkers(Node &node, const TickTime &time);

} // namespace flamingotally
