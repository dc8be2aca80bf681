/** @file scheduling_base.h What scheduling and housekeeping remember from tick to tick. */
#pragma once

#include "policy/plan_type.h"

namespace flamingotally
{

/** Local to one daemon; nothing here is agreed on. */
struct SchedulingState {
    PlanScratch scratch; ///< What the last plan left; new jobs are placed there at once.
    PlannedTasks planned; ///< Tasks that the last plan put on workers of other daemons.
    std::array<bool, enumSize<Urgency>> blocked{}; ///< Whether work of this urgency waits for room.
    std::uint64_t plannedOffset = UINT64_MAX; ///< Offset of the tables that the last plan saw.
    MonotonicTime plannedAt{};
    LogTime nextBackoffEnd = LogTime::max();
    bool isCutShort = false; ///< The last plan left work that has room.
    bool hasPlan = false;
    std::vector<std::uint8_t> owned; ///< For each row of workers, whether it is this daemon's.
    MonotonicTime ownedAt{}; ///< When that was last found out.
    MonotonicTime housekeptAt{};
    MonotonicTime healthJudgedAt{};
    MonotonicTime expiredAt{};
};

} // namespace flamingotally
