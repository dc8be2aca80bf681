/**
 * @file reservation_window.h When tasks may use capacity that is reserved for others.
 *
 * Load: long runs take a part of each worker, and large tasks that wait for their end have all workers reserved. While
 * less than half of a pool is in use, no task waits for long beside capacity that is only reserved. A few reservations
 * stay firm all the same, so that large tasks get their turn under a stream of small ones.
 */
#pragma once

#include "dispatch/work_base.h"

#include <algorithm>

namespace flamingotally::dispatch
{

/** Reservations hold for this long, by turns with `openWindow`, while less than half of a pool is in use. */
constexpr Milliseconds heldWindow{1'500};
constexpr Milliseconds openWindow{300}; ///< Longer than the time between two placement passes.
/** At most one of this many workers of a pool has a firm reservation, and at least one. */
constexpr std::size_t firmDivisor = 4;
/** With fewer workers in a pool no reservation is firm, as the others may have no room. */
constexpr std::size_t minWorkersForFirm = 3;

/** Returns how many workers of a pool may have firm reservations. */
inline std::size_t firmLimit(const PassPool &pool)
{
    return pool.workers.size() < minWorkersForFirm ? 0 : std::max<std::size_t>(1, pool.workers.size() / firmDivisor);
}

/** Updates since when a pool has been less than half in use. */
inline void updateHalfFree(HalfFreeSince &since, const PassPool &pool, MonotonicTime now)
{
    const auto update = [now](MonotonicTime &at, std::int64_t used, std::int64_t capacity) {
        const bool isHalfFree = used * 2 < capacity;
        at = !isHalfFree ? MonotonicTime{} : (at == MonotonicTime{} ? now : at);
    };
    update(since.processor, pool.used.cpuMilli, pool.capacity.cpuMilli);
    update(since.memory, pool.used.memoryMb, pool.capacity.memoryMb);
    update(since.accelerators, pool.used.accelerators, pool.capacity.accelerators);
}

/** Returns true if tasks with a demand may now use capacity that is reserved, but not firmly, in a pool. */
inline bool isWindowOpen(const HalfFreeSince &since, const Resources &demand, MonotonicTime now)
{
    auto at = MonotonicTime::min();
    const auto consider = [&at](std::int64_t amount, MonotonicTime freeSince) {
        if (amount > 0) {
            at = std::max(at, freeSince == MonotonicTime{} ? MonotonicTime::max() : freeSince);
        }
    };
    consider(demand.cpuMilli, since.processor);
    consider(demand.memoryMb, since.memory);
    consider(demand.accelerators, since.accelerators);
    if (at == MonotonicTime::min() || at == MonotonicTime::max()) {
        return at == MonotonicTime::min();
    }
    return (now - at) % (heldWindow + openWindow) >= heldWindow;
}

} // namespace flamingotally::dispatch
