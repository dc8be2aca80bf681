/** @file work_func.h Changes of the owner's active work. Each change marks the progress that has to be written. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Returns the specification of a group's step. */
const StepSpec &stepOf(const Entry &entry, GroupRef group);

/** Returns the policy of a group's job. */
const JobPolicy &policyOf(const Entry &entry, GroupRef group);

/** Returns the public name of a task. */
TaskName nameOf(const Entry &entry, TaskRef task);

/** Returns the capacity that a task uses on its worker. Best-effort tasks count no processor time. */
Resources demandOf(const StepSpec &step);

/** Builds the owner's tables from the jobs in the journal, when this daemon becomes the owner. */
void buildWork(Entry &entry, const TickTime &time);

/** Adds a job to the active work. Of a job that has ended, only runs that were placed are added, to stop them. */
void openJob(Entry &entry, JobRef job, const TickTime &time);

/** Opens the occurrences that are due. */
void openDueOccurrences(Entry &entry, const TickTime &time);

/** Drops the waiting tasks of a job and stops its runs. */
void closeJob(Entry &entry, JobRef job, const TickTime &time);

/** Returns the worker with an id; inserts it if the table does not have it. */
WorkerRef workerOf(Entry &entry, const std::string &id);

/**
 * Places a task on a worker.
 * @param number Number of the run.
 * @return The run. No order is sent before its placement is stored.
 */
RunRef placeTask(Entry &entry, TaskRef task, WorkerRef worker, RunNumber number, const TickTime &time);

/** Stops a run. A planned run, for which no order was sent, is discarded immediately. */
void stopRun(Entry &entry, RunRef run, const TickTime &time);

/**
 * Ends a run after its worker reported the end or its lease expired.
 * @param checkpoint Last checkpoint; empty for none.
 */
void endRun(Entry &entry, RunRef run, RunEnd how, const std::string &checkpoint, const TickTime &time);

/**
 * Completes the task of a run that is not in the tables, as this owner discarded it or a previous owner started it,
 * and whose worker reported it as done.
 */
void endUnknownRun(Entry &entry, const TaskName &name, const TickTime &time);

/** Discards a run that certainly never started and never will. */
void discardRun(Entry &entry, RunRef run, const TickTime &time);

/**
 * Ends all runs on a worker that certainly runs none of them any more.
 * @param cause Reason for the log.
 */
void endAllRuns(Entry &entry, WorkerRef worker, std::string_view cause, const TickTime &time);

/** Removes a closed occurrence without runs from the tables. */
void eraseOccurrence(Entry &entry, OccurrenceRef occurrence);

/** Returns the record of an occurrence's current progress. */
ProgressRecord progressOf(const Entry &entry, OccurrenceRef occurrence);

} // namespace flamingotally::dispatch
