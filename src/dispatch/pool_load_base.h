/** @file pool_load_base.h The owner's table of pools: how fast their work is done, and what waits for capacity. */
#pragma once

#include "core/table.h"
#include "dispatch/journal_type.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <optional>
#include <string>

namespace flamingotally::dispatch
{

struct PoolTag;
using PoolRef = Ref<PoolTag>;

/** Name of a pool. */
struct PoolIdentity {
    std::string name;
};

/** The runs of a pool that were done between two measurements. */
struct DrainPeriod {
    MonotonicTime beganAt{}; ///< Zero for a period that has not begun.
    double work = 0; ///< Their estimated work, in core-milliseconds.
    double coreTime = 0; ///< The time from their placement to their end times their cores, in core-milliseconds.
    std::uint32_t done = 0; ///< Number of tasks.
};

/** The latest periods of a pool; the current one is still open. */
struct PoolDrain {
    static constexpr std::size_t memory = 4; ///< Number of periods, of one second each.

    std::array<DrainPeriod, memory> periods{}; ///< The oldest one is overwritten.
    std::size_t current = 0; ///< Index of the open period.
};

/** What waits for capacity of a pool, by the last measurement. */
struct PoolWaiting {
    bool isBlocked = false; ///< The last placement pass found no worker for a task that waits.
    PoolLoad load; ///< Valid only if `isBlocked`.
};

using PoolTable = Table<PoolTag, PoolIdentity, PoolDrain, PoolWaiting>;

/** The table of pools with its index by name, and what of it is published next. */
struct PoolLoads {
    PoolTable table;
    absl::flat_hash_map<std::string, PoolRef> byName;
    MonotonicTime measureAt{}; ///< Time of the next measurement; zero until the first tick as owner.
    std::optional<PoolLoadRecord> unpublished; ///< Is added to the owner's next batch.
    bool hasPublishedLoad = false; ///< The last record that was published named a pool without free capacity.
};

} // namespace flamingotally::dispatch
