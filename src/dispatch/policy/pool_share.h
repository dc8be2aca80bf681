/** @file pool_share.h Bounds the part of a pool that faults of runs and refused starts may keep from tasks. */
#pragma once

#include "dispatch/entry_base.h"

#include <algorithm>

namespace flamingotally::dispatch
{

/**
 * Returns true if one more worker of a worker's pool may be kept from tasks: fewer than a quarter of those that could
 * be used are. So most of the pool is left to other jobs, whatever the runs of one job do.
 */
inline bool mayKeepFromTasks(const Entry &entry, WorkerRef worker, const TickTime &time)
{
    constexpr std::size_t poolDivisor = 4;
    const auto &pool = entry.workers.table.get<WorkerIdentity>(worker).pool;
    std::size_t usable = 0;
    std::size_t kept = 0;
    entry.workers.table.forEach([&](WorkerRef it) {
        const auto &health = entry.workers.table.get<WorkerHealth>(it);
        const auto &link = entry.workers.table.get<WorkerLink>(it);
        const bool isUsable = health.listed && !health.draining && link.hasResponded && link.missedPolls == 0
            && entry.workers.table.get<WorkerIdentity>(it).pool == pool;
        usable += isUsable ? 1 : 0;
        kept += isUsable && health.isKeptFromTasks(time.now) ? 1 : 0;
    });
    return usable > 1 && kept < std::max<std::size_t>(1, usable / poolDivisor);
}

} // namespace flamingotally::dispatch
