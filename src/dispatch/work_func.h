/** @file work_func.h Functions that change the owner's active work, and mark the progress that must be written. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Returns the specification of a group's step. */
const StepSpec &stepOf(const Entry &entry, GroupRef group);

/** Returns the policy of a group's job. */
const JobPolicy &policyOf(const Entry &entry, GroupRef group);

/** Returns the number of tasks of a group that wait to be placed. */
std::size_t waitingTasks(const Entry &entry, GroupRef group);

/** Returns the number of tasks of a group that wait to be placed and need not wait until a later time. */
std::size_t readyTasks(const Entry &entry, GroupRef group, const TickTime &time);

/** Returns the group of a run's task. */
GroupRef groupOf(const Entry &entry, RunRef run);

/** Returns true if a run with such an end has ended by itself: it was neither stopped nor lost. */
constexpr bool isOwnEnd(RunEnd how)
{
    return how == RunEnd::Done || how == RunEnd::Failed;
}

/** Returns the public name of a task. */
TaskName nameOf(const Entry &entry, TaskRef task);

/** Returns the capacity that a task of a step uses on its worker. Best-effort tasks count no processor time. */
Resources demandOf(const StepSpec &step);

/** Closes the open occurrences of a job: drops their waiting tasks and stops their runs. */
void closeJob(Entry &entry, JobRef job, const TickTime &time);

/** Returns the worker with an id. If the table has no such worker, inserts one that is not listed. */
WorkerRef workerOf(Entry &entry, const std::string &id);

/**
 * Places a task on a worker.
 * @param number Number of the new run.
 * @return The new run. It is not started before its placement is stored in the journal.
 */
RunRef placeTask(Entry &entry, TaskRef task, WorkerRef worker, RunNumber number, const TickTime &time);

/** Notes that a run has certainly started, so that its occurrence has begun. */
void recordStart(Entry &entry, RunRef run);

/** Makes a run stop: orders to stop it follow. A planned run, for which no order was sent, is discarded immediately. */
void stopRun(Entry &entry, RunRef run, const TickTime &time);

/**
 * Ends a run after its worker reported the end, its lease expired, or it disappeared from its worker. Its task is
 * completed or requeued; the runs of the other members of a gang are stopped.
 * @param checkpoint Last checkpoint of the run; empty for none.
 */
void endRun(Entry &entry, RunRef run, RunEnd how, const std::string &checkpoint, const TickTime &time);

/**
 * Ends a run whose worker does not have it any more and listed no end of it, and logs that.
 * @param cause Reason, for the log.
 */
void loseRun(Entry &entry, RunRef run, std::string_view cause, const TickTime &time);

/**
 * Counts a crash of a worker for a task whose run probably caused it, once for all members of a gang. Fails the job at
 * the maximum, also of endless tasks.
 * @param number Number of the run.
 * @param weight How much the crash counts.
 */
void countCrash(Entry &entry, TaskRef task, RunNumber number, std::uint32_t weight, const TickTime &time);

/**
 * Completes the task of a run that a worker reported as done but that is not in the tables, because this owner has
 * discarded it or a previous owner started it. Does nothing for an endless task or a closed occurrence.
 */
void endUnknownRun(Entry &entry, const TaskName &name, const TickTime &time);

/** Discards a run that certainly does not run and never will, and requeues its task. Stops the rest of its gang. */
void discardRun(Entry &entry, RunRef run, const TickTime &time);

/**
 * Ends all runs of a worker that certainly runs none of them any more, as it has crashed or was replaced.
 * @param cause Reason, for the log.
 */
void endAllRuns(Entry &entry, WorkerRef worker, std::string_view cause, const TickTime &time);

/** Returns the record of an occurrence's current progress; without tasks if it is closed and has no runs. */
ProgressRecord progressOf(const Entry &entry, OccurrenceRef occurrence);

} // namespace flamingotally::dispatch
