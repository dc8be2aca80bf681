/**
 * @file report_absence.h What it shows that a worker's report lacks a run. A report may be cut off, have rows that
 * cannot be read, or be the first one after a restart of the worker.
 */
#pragma once

#include "dispatch/entry_base.h"

#include <absl/container/flat_hash_set.h>

namespace flamingotally::dispatch
{

/** Returns the run in this owner's tables that a row of a worker's report is about; unset for any other run. */
RunRef findRun(const Entry &entry, WorkerRef worker, const TaskName &task, RunNumber number);

/**
 * Ends the runs that a worker had before it restarted. A run with a start order that was not answered is stopped first,
 * also if another one was: the new incarnation may execute the order late.
 */
void endRunsBeforeRestart(Entry &entry, const PollResponse &response, const TickTime &time);

/**
 * Ends or discards runs that the worker should have reported and did not: they disappeared or never started. A report
 * that was cut off shows that of no run. To be called after the ends of the report were applied.
 * @param seen Indexes of the runs that the report lists as running.
 */
void applyMissing(Entry &entry,
                  const PollResponse &response,
                  const absl::flat_hash_set<std::uint32_t> &seen,
                  const TickTime &time);

} // namespace flamingotally::dispatch
