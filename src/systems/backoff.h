/** @file backoff.h Pauses between retries. */
#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace flamingotally
{

/**
 * Length of the pause before a retry: doubles with each failure up to a bound, and half of it is random, so that
 * daemons that failed together do not retry together.
 * @param random Source of the jitter.
 * @param base Pause after the first failure.
 * @param longest Bound of the pause.
 * @param failures Failures in a row, from 1.
 */
inline Milliseconds
backoffPause(std::mt19937_64 &random, Milliseconds base, Milliseconds longest, std::uint32_t failures)
{
    constexpr std::uint32_t maxDoublings = 16;
    const auto doublings = std::min(failures > 0 ? failures - 1 : 0, maxDoublings);
    const auto pause = std::max(Milliseconds{1}, std::min(longest, base * (std::int64_t{1} << doublings)));
    const auto half = pause / 2;
    std::uniform_int_distribution<std::int64_t> jitter(0, (pause - half).count());
    return half + Milliseconds{jitter(random)};
}

} // namespace flamingotally
