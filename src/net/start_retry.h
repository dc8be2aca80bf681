/** @file start_retry.h Decides when a failed step of a daemon's start is tried again, and when it is given up. */
#pragma once

#include "core/time_type.h"
#include "systems/backoff.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>

namespace flamingotally
{

/** The time in which one step is tried again. It begins with the first failure. */
class StartRetry
{
public:
    /**
     * @param limit Time from the first failure to the last try; zero allows one try only.
     * @param seed Seed of the jitter.
     */
    StartRetry(Milliseconds limit, std::uint64_t seed) : m_limit(limit), m_random(seed)
    {
    }

    /** Notes a failure. Returns the pause before the next try, or nullopt when the limit is reached. */
    std::optional<Milliseconds> pauseAfterFailure(MonotonicTime now)
    {
        constexpr Milliseconds firstPause{20};
        constexpr Milliseconds maxPause{500};
        m_firstFailure = m_firstFailure.value_or(now);
        const auto left = m_limit - waited(now);
        if (left <= Milliseconds{0}) {
            return std::nullopt;
        }
        return std::min(left, backoffPause(m_random, firstPause, maxPause, ++m_failures));
    }

    /** Returns whether the step has failed so far. */
    bool hasFailed() const
    {
        return m_firstFailure.has_value();
    }

    /** Returns the time since the first failure; zero if there is none. */
    Milliseconds waited(MonotonicTime now) const
    {
        return m_firstFailure ? now - *m_firstFailure : Milliseconds{0};
    }

    Milliseconds limit() const
    {
        return m_limit;
    }

private:
    Milliseconds m_limit;
    std::mt19937_64 m_random;
    std::optional<MonotonicTime> m_firstFailure;
    std::uint32_t m_failures = 0;
};

} // namespace flamingotally
