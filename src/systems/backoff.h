/** @file backoff.h Exponential backoff with jitter. */
#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace flamingotally
{

/**
 * Returns the pause before a retry. The nominal pause doubles with each failure up to a maximum. The result is a random
 * time between half of the nominal pause and all of it, so that daemons that failed at the same time do not retry at
 * the same time.
 * @param random Source of the jitter.
 * @param base Nominal pause after the first failure.
 * @param maxPause Maximum of the nominal pause.
 * @param failures Number of consecutive failures, starting at 1.
 */
inline Milliseconds
backoffPause(std::mt19937_64 &random, Milliseconds base, Milliseconds maxPause, std::uint32_t failures)
{
    constexpr std::uint32_t maxDoublings = 16; // so that the shift below cannot overflow
    const auto doublings = std::min(failures > 0 ? failures - 1 : 0, maxDoublings);
    const auto pause = std::max(Milliseconds{1}, std::min(maxPause, base * (std::int64_t{1} << doublings)));
    const auto half = pause / 2;
    std::uniform_int_distribution<std::int64_t> jitter(0, (pause - half).count());
    return half + Milliseconds{jitter(random)};
}

} // namespace flamingotally
