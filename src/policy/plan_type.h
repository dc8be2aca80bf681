/** @file plan_type.h What a plan is made from and what it says. */
#pragma once

#include "command_type.h"
#include "core/enum_table.h"
#include "policy/live_attempts.h"
#include "policy/placement_policy.h"
#include "policy/policy_type.h"
#include "policy/waiting.h"

#include <absl/container/flat_hash_map.h>

#include <array>

namespace flamingotally
{

/** Where an earlier plan put a task that another daemon is to place. */
struct PlannedTask {
    WorkerRef worker;
    MonotonicTime since{}; ///< When a plan first put it there.
};

using PlannedTasks = absl::flat_hash_map<std::uint64_t, PlannedTask>;

/** Memory that one plan leaves to the next. After a plan it shows what is left. */
struct PlanScratch {
    RoomTable capacities;
    TeamUseTable teams;
    WaitingTable waiting;
    LiveAttemptTable attempts;
};

/** What a plan is made from, besides the room in the scratch. */
struct PlanInput {
    const Tables &tables;
    const PlannedTasks &planned; ///< Where earlier plans put tasks.
    const AttemptNumberSet &stopsInHand;
    LogTime now{};
    std::size_t maxTasks = SIZE_MAX; ///< Tasks after which the plan is cut short.
};

/** Tasks that are placed together. */
struct PlannedGroup {
    std::vector<Placement> placements;
    JobRef job;
    Urgency urgency = Urgency::Normal;
    bool allOrNone = false; ///< A gang.
};

/** An attempt to be preempted. */
struct PlannedStop {
    AttemptNumber attempt = 0;
    WorkerRef worker;
};

/** What is to be done now. */
struct Plan {
    std::vector<PlannedGroup> groups; ///< In the order of the queue; one task each, or a gang.
    std::vector<PlannedStop> stops;
    std::array<bool, enumSize<Urgency>> blocked{}; ///< Whether work of this urgency found no room.
    bool isCutShort = false;
};

/**
 * Makes a plan by a policy.
 * @param kind The policy.
 * @param scratch Rooms, teams and waiting work, filled by the caller; afterwards what is left.
 * @param input What else it is made from.
 */
Plan makePlan(PolicyKind kind, PlanScratch &scratch, const PlanInput &input);

/**
 * Chooses a worker for one task by a policy.
 * @return Row of the worker, or nothing when none has room.
 */
std::optional<std::size_t> pickRowBy(PolicyKind kind, const RoomTable &capacities, const TaskNeed &need);

} // namespace flamingotally
