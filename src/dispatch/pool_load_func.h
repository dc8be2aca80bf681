/** @file pool_load_func.h Functions that fill the owner's table of pools. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Returns the pool with a name, and inserts it if it is new. */
PoolRef poolOf(PoolLoads &loads, const std::string &name);

/** Counts the work of a task whose run is done, before the run is removed; once for all members of a gang. */
void recordDrain(Entry &entry, RunRef run, const TickTime &time);

/** Returns the cores of a pool that runs use which will end by themselves. */
double coresInUse(const Entry &entry, const std::string &pool);

/**
 * Returns the rate at which a pool does its work, in core-milliseconds per millisecond; zero when it is not known.
 * @param cores Cores in use.
 */
double drainRateOf(const PoolDrain &drain, double cores, MonotonicTime now);

} // namespace flamingotally::dispatch
