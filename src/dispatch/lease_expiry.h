/** @file lease_expiry.h When the lease of a worker is over by this daemon's clock. */
#pragma once

#include "dispatch/worker_base.h"

#include <algorithm>

namespace flamingotally::dispatch
{

/** Works out by when all runs of a worker have ended, unless its lease is renewed. Its clock may run 2% slow. */
inline void judgeLease(WorkerLink &link)
{
    constexpr int clockPercent = 103;
    constexpr Milliseconds margin{200};
    if (link.clockReadAt != MonotonicTime{}) {
        const auto left = std::max(Milliseconds{0}, Milliseconds(link.leaseUntil - link.clock));
        link.leaseOverAt = link.clockReadAt + left * clockPercent / 100 + margin;
    }
}

} // namespace flamingotally::dispatch
