/** @file clock.h The Clock concept: the machine's clocks in the daemons, a simulated clock in tests. */
#pragma once

#include "core/time_type.h"

#include <concepts>

namespace flamingotally
{

/** Source of the current time: monotonic time for intervals, wall time for log lines and request ids. */
template<typename T>
concept Clock = requires(const T &clock)
{
    {
        clock.now()
        } -> std::same_as<MonotonicTime>;
    {
        clock.wallNow()
        } -> std::same_as<WallTime>;
};

} // namespace flamingotally
