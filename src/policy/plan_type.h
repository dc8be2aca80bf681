/** @file plan_type.h Input and result of a plan. */
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

/** Worker that an earlier plan chose for a task that another daemon has to place. */
struct PlannedTask {
    WorkerRef worker;
    MonotonicTime firstPlannedAt{}; ///< When a plan first chose a worker for the task.
};

/** Planned tasks by keyOf() the task. */
using PlannedTasks = absl::flat_hash_map<std::uint64_t, PlannedTask>;

/** Working tables of a plan. They contain what the plan left over, until the next plan reuses their memory. */
struct PlanScratch {
    CapacityTable capacities;
    TeamUseTable teams;
    WaitingTable waiting;
    LiveAttemptTable attempts;
};

/** Input of a plan besides the working tables. */
struct PlanInput {
    const Tables &tables;
    const PlannedTasks &planned; ///< Workers that the last plan chose for tasks that other daemons place.
    const AttemptNumberSet &proposedStops; ///< Attempts whose stop is proposed and not read back yet.
    LogTime now{}; ///< Estimate of the log's clock.
    std::size_t maxTasks = SIZE_MAX; ///< The plan is truncated once it has placed this many tasks.
};

/** A gang, or a single task, with its placements. */
struct PlannedGroup {
    std::vector<Placement> placements;
    JobRef job;
    Urgency urgency = Urgency::Normal;
    bool allOrNone = false; ///< Whether the tasks are a gang, so that either all of them are placed or none.
};

/** An attempt to preempt. */
struct PlannedStop {
    AttemptNumber attempt = 0;
    WorkerRef worker;
};

/** Placements and preemptions to propose now. */
struct Plan {
    std::vector<PlannedGroup> groups; ///< In the order of the queue; one task each, or a gang.
    std::vector<PlannedStop> stops;
    std::array<bool, enumSize<Urgency>> hasBlockedWork{}; ///< By urgency: whether some work did not fit.
    bool isTruncated = false; ///< Whether the plan reached `maxTasks`.
};

/**
 * Makes a plan by a policy.
 * @param kind The policy.
 * @param scratch Capacities, teams and waiting work, filled by the caller; updated by the plan.
 * @param input The other input.
 */
Plan makePlan(PolicyKind kind, PlanScratch &scratch, const PlanInput &input);

/**
 * Chooses a worker for one task by a policy.
 * @return Index of the worker, or nothing if the task fits on none.
 */
std::optional<std::size_t> pickRowBy(PolicyKind kind, const CapacityTable &capacities, const TaskNeed &need);

} // namespace flamingotally
