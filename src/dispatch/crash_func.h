/**
 * @file crash_func.h Finds the tasks that probably made a worker crash. Most runs on a crashed worker did no
 * harm, so only those that it had begun last are suspected.
 */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/**
 * Returns true if a run had been running for long at its worker's last response, so that it would not be suspected of a
 * crash.
 */
bool isSettled(const Entry &entry, RunRef run);

/** Returns the suspicion against a run if its worker has crashed since the worker's last response. */
Suspicion suspicionOf(const Entry &entry, RunRef run);

/**
 * Counts a crash of a worker for the tasks of the most suspected runs: those in the tables and those that
 * rememberSuspects() has noted. Does nothing for a worker that was draining. To be called before the runs are ended.
 */
void recordCrash(Entry &entry, WorkerRef worker, const TickTime &time);

/**
 * Notes the most suspected runs of a silent worker whose lease has expired. Whether the worker has crashed shows only
 * when it, or another worker at its address, responds. To be called before the runs are ended.
 */
void rememberSuspects(Entry &entry, WorkerRef worker, const TickTime &time);

/** Returns true while a worker is to be polled because it may turn out to have crashed under noted suspects. */
bool mayHaveCrashed(const Entry &entry, WorkerRef worker, const TickTime &time);

} // namespace flamingotally::dispatch
