/** @file policy_type.h Policies for the order and the placement of waiting work. */
#pragma once

#include <cstdint>

namespace flamingotally
{

/** Pair of a queue policy and a placement policy. Names: table/policy_table.h. */
enum class PolicyKind : std::uint8_t {
    Share, ///< By urgency and distance from share; best fit, with reservations and preemption.
    Fifo, ///< By age alone; best fit.
    FirstFit, ///< By age alone; the first worker on which a task fits.
    Random, ///< By age alone; a random worker on which a task fits.
    End,
};

} // namespace flamingotally
