/** @file policy_type.h Which policy decides the order of waiting work and where it goes. */
#pragma once

#include <cstdint>

namespace flamingotally
{

/** Pair of a queue policy and a placement policy. Names: table/policy_table.h. */
enum class PolicyKind : std::uint8_t {
    Share, ///< By urgency and distance from share; best fit, with reservations and preemption.
    Fifo, ///< By age alone; best fit.
    FirstFit, ///< By age alone; the first worker with room.
    Random, ///< By age alone; any worker with room.
    End,
};

} // namespace flamingotally
