/** @file clock.h What reads time: the machine's clocks in the daemons, a simulated one in tests. */
#pragma once

#include "core/time_type.h"

#include <concepts>

namespace flamingotally
{

/** Reads time. */
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
