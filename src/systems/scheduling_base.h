/** @file scheduling_base.h State of scheduling and housekeeping that persists between ticks. */
#pragma once

#include "policy/plan_type.h"

namespace flamingotally
{

/** Scheduling state that is local to one daemon and not replicated. */
struct SchedulingState {
    PlanScratch scratch; ///< Capacity and waiting work after the last plan; new jobs are placed in that capacity.
    PlannedTasks planned; ///< Tasks that the last plan put on workers of other daemons.
    std::array<bool, enumSize<Urgency>> hasBlockedWork{}; ///< By urgency: whether work did not fit into the last plan.
    std::uint64_t plannedOffset = UINT64_MAX; ///< Offset of the tables that the last plan was made from.
    MonotonicTime plannedAt{}; ///< When the last plan was made.
    LogTime nextBackoffEnd = LogTime::max(); ///< When the next task in backoff may start; LogTime::max() for none.
    /** Whether the last plan reached its maximum size and may have left work that could be placed. */
    bool isPlanTruncated = false;
    bool hasPlan = false; ///< Whether a plan has been made since the start of the process.
    std::vector<std::uint8_t> ownedWorkers; ///< By worker index: 1 if this daemon owns the worker.
    MonotonicTime ownershipCheckedAt{}; ///< When `ownedWorkers` was last updated.
    MonotonicTime lastHousekeepingAt{};
    MonotonicTime lastHealthCheckAt{};
    MonotonicTime lastExpiryAt{};
};

} // namespace flamingotally
