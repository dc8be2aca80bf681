/** @file stage_type.h Stages of the way of a job from its acceptance to its end. */
#pragma once

#include "core/enum_table.h"
#include "core/time_type.h"

#include <array>
#include <cstdint>

namespace flamingotally::dispatch
{

/** What a task waits for, in the order of its way. */
enum class Stage : std::uint8_t {
    Owner, ///< For an owner to open the occurrence. Counted once for each occurrence.
    EarlierRuns, ///< For the end of its earlier runs, which did not complete it.
    Advice, ///< For the policy service, while the group has no valid ticket.
    Capacity, ///< For free capacity on a worker that may run it.
    Append, ///< For its placement to be stored.
    Order, ///< For the start order to be sent.
    Confirmation, ///< For the worker to confirm the start.
    Run, ///< For the end of the run, and for the report of it.
    End,
};

/** Time spent in each stage. */
using StageTimes = std::array<Milliseconds, enumSize<Stage>>;

} // namespace flamingotally::dispatch
