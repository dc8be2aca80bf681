/**
 * @file restart_func.h When tasks of endless steps are begun again. After several short runs in a row a task waits
 * before the next one, the longer the more of them there were, so that a step that cannot run takes little from others.
 */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Returns true if a run has been confirmed for so long that it is no short run. */
bool isLongRun(const Entry &entry, RunRef run, MonotonicTime at);

/** Returns how long an endless task waits for its next run after a number of short runs in a row. */
Milliseconds restartDelay(std::uint32_t shortRuns);

/**
 * Sets when an endless task, or its gang, may be placed again after a run that has ended by itself. To be called while
 * the run is in the table.
 */
void delayRestart(Entry &entry, RunRef run, const TickTime &time);

/** Records that the run of an endless task has become a long one, so that its next one need not wait. */
void recordLongRun(Entry &entry, RunRef run, const TickTime &time);

} // namespace flamingotally::dispatch
