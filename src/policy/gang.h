/** @file gang.h Places all tasks of a gang at once, or reserves capacity until that is possible. */
#pragma once

#include "policy/live_attempts.h"
#include "policy/placement_policy.h"

namespace flamingotally
{

/**
 * Returns how many tasks fit into the available resources.
 * @param available The available resources; if any is negative, no task fits.
 * @param amount Resources of one task.
 * @param most Upper bound of the result.
 */
std::uint32_t fitCount(const Resources &available, const Resources &amount, std::uint32_t most);

/**
 * Chooses workers for all tasks of a gang: in one rack if the gang fits into one, else in one failure domain, else
 * anywhere.
 * @param capacities The workers.
 * @param need Need of one task of the gang.
 * @param count Number of tasks of the gang.
 * @return A worker index for each task; empty if not all tasks fit.
 */
std::vector<std::uint32_t> placeGang(const CapacityTable &capacities, const TaskNeed &need, std::uint32_t count);

/**
 * Reserves capacity for waiting tasks: for as many tasks as fit now, and for the rest the free part of the workers with
 * the most free and releasing capacity, one task for each worker. The reserved capacity grows as other tasks end on
 * these workers, so each later plan reserves the same and more, until all tasks fit.
 * @param capacities The workers, from whose free capacity the reservations are taken.
 * @param attempts The live attempts.
 * @param amount Resources of one task.
 * @param count Number of tasks.
 * @return False if the tasks would not fit on all workers together even after all attempts except those of services
 * have ended; nothing is reserved then.
 */
bool reserveCapacity(CapacityTable &capacities,
                     const LiveAttemptTable &attempts,
                     const Resources &amount,
                     std::uint32_t count);

} // namespace flamingotally
