/** @file gang.h Placing all tasks of a gang at once, or keeping workers for it until that can be done. */
#pragma once

#include "policy/live_attempts.h"
#include "policy/placement_policy.h"

namespace flamingotally
{

/** How many tasks of a size fit into some room. */
std::uint32_t fitCount(const Resources &room, const Resources &amount, std::uint32_t most);

/**
 * Finds room for all tasks of a gang: in one rack when there is one that holds it, else in one failure domain, else
 * anywhere.
 * @param rooms The workers.
 * @param need One of its tasks.
 * @param count Number of its tasks.
 * @return A row for each task; empty when there is no room for all.
 */
std::vector<std::uint32_t> placeGang(const RoomTable &capacities, const TaskNeed &need, std::uint32_t count);

/**
 * Keeps room for waiting tasks: whole places where there are any now, and for the rest what is free on the workers
 * with the most room, one task a worker. Room that is kept grows as tasks end there, so that each later plan keeps the
 * same and more, until all tasks fit.
 * @param rooms What is kept is taken from what is free.
 * @param attempts The live attempts.
 * @param amount Need of one task.
 * @param count Number of tasks.
 * @return False when even all workers together could not hold them; nothing is kept then.
 */
bool keepRoom(RoomTable &capacities, const LiveAttemptTable &attempts, const Resources &amount, std::uint32_t count);

} // namespace flamingotally
