/** @file lease_expiry.h When the lease of a worker expires by this daemon's clock. */
#pragma once

#include "dispatch/worker_base.h"

#include <algorithm>

namespace flamingotally::dispatch
{

/**
 * Updates WorkerLink::leaseExpiresAt, the time on this daemon's clock by which all runs of a worker have ended unless
 * its lease is renewed. 3% and 200 ms are added to the remaining lease, to cover a worker's clock that runs 2% slow.
 * Without a reading of the worker's clock nothing changes.
 */
inline void updateLeaseExpiry(WorkerLink &link)
{
    constexpr int clockPercent = 103;
    constexpr Milliseconds margin{200};
    if (link.clockReadAt != MonotonicTime{}) {
        const auto left = std::max(Milliseconds{0}, Milliseconds(link.latestLeaseUntil - link.clock));
        link.leaseExpiresAt = link.clockReadAt + left * clockPercent / 100 + margin;
    }
}

} // namespace flamingotally::dispatch
