/** @file pass_workers.h The workers that accept tasks in a placement pass, by pool. */
#pragma once

#include "dispatch/policy/order_pacing.h"
#include "dispatch/region_link.h"

#include <algorithm>
#include <utility>

namespace flamingotally::dispatch
{

/**
 * Returns true if a worker is listed and responds, is neither draining nor kept from tasks, and its domain is in
 * service.
 */
inline bool acceptsTasks(const Entry &entry, WorkerRef worker, const TickTime &time)
{
    constexpr Milliseconds responseAgeLimit{1'900}; // workers whose last response is older get no tasks
    const auto &health = entry.workers.table.get<WorkerHealth>(worker);
    const auto &link = entry.workers.table.get<WorkerLink>(worker);
    if (!health.listed || health.draining || !link.hasResponded || link.missedPolls > 0
        || health.isKeptFromTasks(time.now) || time.now - link.lastResponseAt > responseAgeLimit) {
        return false;
    }
    const auto &out = entry.config.domainsOut;
    return std::ranges::find(out, entry.workers.table.get<WorkerIdentity>(worker).domain) == out.end();
}

/** Returns the workers that accept tasks, by pool. Left out are those of regions to which orders wait already. */
inline std::vector<PassPool> poolsOfPass(const Entry &entry, const TickTime &time)
{
    std::vector<PassPool> pools;
    entry.workers.table.forEach([&](WorkerRef worker) {
        if (!acceptsTasks(entry, worker, time) || isBacklogged(linkOf(entry.workers, worker).pacing)) {
            return;
        }
        const auto &name = entry.workers.table.get<WorkerIdentity>(worker).pool;
        auto it = std::ranges::find(pools, name, &PassPool::name);
        if (it == pools.end()) {
            PassPool pool;
            pool.name = name;
            it = pools.insert(pools.end(), std::move(pool));
        }
        it->workers.push_back(worker);
        const auto &capacity = entry.workers.table.get<WorkerIdentity>(worker).capacity;
        const auto &used = entry.workers.table.get<WorkerLoad>(worker).used;
        it->capacity += capacity;
        it->used += used;
        const auto free = capacity - used;
        it->mostFree = {std::max(it->mostFree.cpuMilli, free.cpuMilli),
                        std::max(it->mostFree.memoryMb, free.memoryMb),
                        std::max(it->mostFree.accelerators, free.accelerators)};
    });
    return pools;
}

/** Returns a pool of the current or the last pass; one without workers if it has none of that name. */
inline const PassPool &poolInPass(const Entry &entry, const std::string &pool)
{
    static const PassPool none;
    const auto &pools = entry.work.pass.pools;
    const auto it = std::ranges::find(pools, pool, &PassPool::name);
    return it == pools.end() ? none : *it;
}

/** Returns true if a worker accepts tasks in the current pass; false also if it has left the table. */
inline bool isInPass(const Entry &entry, WorkerRef worker)
{
    return entry.workers.table.contains(worker)
        && entry.workers.table.get<WorkerHealth>(worker).acceptsInPass == entry.work.pass.number;
}

/** Returns the load of a worker, in which the reservations of earlier passes are cleared. */
inline WorkerLoad &loadInPass(Entry &entry, WorkerRef worker)
{
    auto &load = entry.workers.table.get<WorkerLoad>(worker);
    if (std::exchange(load.reservedInPass, entry.work.pass.number) != entry.work.pass.number) {
        load.reserved = {};
        load.reservedForGangs = {};
        load.gangsReadyAt = {};
        load.large.amount = {};
        load.large.isFirm = false;
        load.large.isStalled = false;
    }
    return load;
}

} // namespace flamingotally::dispatch
