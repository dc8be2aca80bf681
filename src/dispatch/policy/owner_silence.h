/**
 * @file owner_silence.h How long the owner may write nothing before the other daemons take it for gone.
 *
 * Load pattern: the appends of all daemons queue at a slow store, and the owner's records wait among them. Daemons that
 * claim the cell then add to the queue, and the cell loses an owner that works.
 */
#pragma once

#include "core/time_type.h"

namespace flamingotally::dispatch
{

constexpr Milliseconds slowStorePeriod{3'000}; ///< How long the store counts as slow after a slow read or append.
constexpr int slowStoreTimeoutFactor = 2; ///< Factor of the owner time-out while the store responds slowly.
/**
 * Factor of the owner time-out while the owner answers that it waits for the store. The store refuses appends when 2 s
 * of them wait, so an append is stored within 2 s and its own time once the store has taken it; before, the owner may
 * be refused while the others do not know yet that the store is slow. This bounds the time without an owner that can
 * store its decisions.
 */
constexpr int waitingOwnerTimeoutFactor = 4;

/** Returns how long the owner may be silent. @param timeout The time while the store is healthy. */
inline Milliseconds silenceLimit(Milliseconds timeout, bool isStoreSlow, bool isOwnerWaiting)
{
    if (isOwnerWaiting) {
        return timeout * waitingOwnerTimeoutFactor;
    }
    return isStoreSlow ? timeout * slowStoreTimeoutFactor : timeout;
}

} // namespace flamingotally::dispatch
