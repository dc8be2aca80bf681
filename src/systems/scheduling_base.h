/** @file scheduling_base.h State of scheduling and housekeeping that persists between ticks. */
#pragma once

#include "policy/plan_type.h"

namespace flamingotally
{

/** Scheduling state that is local to one daemon and not replicated. */
struct SchedulingState {
    PlanScratch scratch; ///< Capacity and waiting work after the last plan; new jobs are placed in that capacity.
    PlannedTasks planned; ///< Tasks that the last plan put on workers of other daemons.
    std::array<bool, enumSize<Urgency>> blocked{}; ///< By urgency: whether work waits for capacity.
    std::uint64_t plannedOffset = UINT64_MAX; ///< Offset of the tables that the last plan was made from.
    MonotonicTime plannedAt{};
    LogTime nextBackoffEnd = LogTime::max();
    bool isTruncated = false; ///< The last plan reached its maximum size and may have left work that could be placed.
    bool hasPlan = false;
    std::vector<std::uint8_t> owned; ///< By worker index: 1 if this daemon owns the worker.
    MonotonicTime ownershipCheckedAt{}; ///< When `owned` was last updated.
    MonotonicTime lastHousekeepingAt{};
    MonotonicTime lastHealthCheckAt{};
    MonotonicTime lastExpiryAt{};
};

} // namespace flamingotally
