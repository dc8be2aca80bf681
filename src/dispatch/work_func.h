/** @file work_func.h Changes of the owner's work in hand. All of them mark what has to be written. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Specification of a group's step. */
const StepSpec &stepOf(const Entry &entry, GroupRef group);

/** Treatment of a group's job. */
const JobPolicy &policyOf(const Entry &entry, GroupRef group);

/** Public name of a task. */
TaskName nameOf(const Entry &entry, TaskRef task);

/** Room that a task of a step takes on its worker: filling work counts no processor. */
Resources roomOf(const StepSpec &step);

/** Makes the owner's tables from the journal. */
void buildWork(Entry &entry, const TickTime &time);

/** Takes a newly accepted job into hand. */
void openJob(Entry &entry, JobRef job, const TickTime &time);

/** Opens the occurrences whose time has come. */
void openDueOccurrences(Entry &entry, const TickTime &time);

/** Drops all that waits of a job and stops all that runs. */
void closeJob(Entry &entry, JobRef job, const TickTime &time);

/** Row of a worker by its id, made when there is none. */
WorkerRef workerOf(Entry &entry, const std::string &id);

/**
 * Places a task on a worker.
 * @param number Number of the run.
 * @return The run. No order is sent before its placement is stored.
 */
RunRef placeTask(Entry &entry, TaskRef task, WorkerRef worker, RunNumber number, const TickTime &time);

/** Has a run stopped. One that no order was sent for ends at once. */
void stopRun(Entry &entry, RunRef run, const TickTime &time);

/** A run has ended as its worker, or the end of its lease, says. */
void endRun(Entry &entry, RunRef run, RunEnd how, const std::string &checkpoint, const TickTime &time);

/** A run that is not in hand, as it was given up or an earlier owner's, has ended well: its task is done. */
void endUnknownRun(Entry &entry, const TaskName &name, const TickTime &time);

/** A run certainly never began and never will. */
void discardRun(Entry &entry, RunRef run, const TickTime &time);

/** All runs on a worker are certainly over. */
void endAllRuns(Entry &entry, WorkerRef worker, std::string_view cause, const TickTime &time);

/** Takes an occurrence that is over, and that no run belongs to, out of the tables. */
void eraseOccurrence(Entry &entry, OccurrenceRef occurrence);

/** Makes the record of an occurrence as it is now. */
ProgressRecord progressOf(const Entry &entry, OccurrenceRef occurrence);

} // namespace flamingotally::dispatch
