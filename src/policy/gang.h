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
 * Reserves capacity for a waiting gang or a single waiting task. Reserves the full resources of as many tasks as fit
 * now. For each remaining task, reserves on one worker as much of the task's resources as is free there, choosing first
 * the workers with the most free and releasing capacity (the latter is used by attempts that are being stopped).
 *
 * A reservation lasts for one plan, and each plan computes it anew. Work that the plan places later cannot take the
 * reserved capacity, so the free capacity of these workers grows when other tasks end there. That is why later plans
 * tend to choose the same workers and to reserve more on them, until all tasks fit.
 * @param capacities The workers, from whose free capacity the reservations are taken.
 * @param attempts The live attempts.
 * @param amount Resources of one task.
 * @param count Number of tasks: all tasks of the gang, or one.
 * @return True if capacity was reserved. False, with nothing reserved, if the open workers together could not run
 * `count` tasks even after all attempts except those of services have ended.
 */
bool reserveCapacity(CapacityTable &capacities,
                     const LiveAttemptTable &attempts,
                     const Resources &amount,
                     std::uint32_t count);

} // namespace flamingotally
