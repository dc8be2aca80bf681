/**
 * @file fault_func.h Tells faulty workers from faulty steps. A run that fails or stalls shows that either its worker or
 * its step is faulty. A step whose runs have faults on several workers is to blame itself; a worker is to blame when
 * runs of several steps have faults there, and it is suspended: it gets no tasks for a while.
 */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Records a fault of a run, and suspends its worker if that is to blame. */
void recordFault(Entry &entry, RunRef run, FaultKind kind, const TickTime &time);

/**
 * Records that a run was healthy: it was done, or has lasted long enough if its step is endless. That clears its
 * worker, and shows that recent faults of other runs of the step were those of their workers.
 */
void recordHealthyRun(Entry &entry, RunRef run, const TickTime &time);

/** Returns true if a step is to blame for the faults of its runs, as they come on several workers. */
bool isStepAtFault(const Entry &entry, GroupRef group);

} // namespace flamingotally::dispatch
