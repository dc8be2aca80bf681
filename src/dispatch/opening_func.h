/**
 * @file opening_func.h Opens occurrences: adds their rows to the owner's tables, within budgets of memory.
 *
 * Load: a request of a few bytes asks for 100,000 occurrences of many tasks that are all due, or many requests do. Rows
 * for all of them would exceed the memory of each owner in turn.
 */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Returns the size of the rows of one open occurrence, in bytes. */
std::size_t rowBytesOf(const JobSpec &spec);

/** Returns the size of a budget of an owner, in bytes. */
std::size_t budgetBytes(const EntrySettings &settings, OpeningBudget budget);

/** Builds the owner's tables of active work from the table of jobs, when this daemon becomes the owner. */
void buildWork(Entry &entry, const TickTime &time);

/**
 * Adds a job to the active work. Occurrences with runs of a previous owner are opened whatever the budgets say. Of an
 * ended job, only occurrences with placed runs are added, to stop these runs.
 */
void openJob(Entry &entry, JobRef job, const TickTime &time);

/**
 * Opens the occurrences that are due, the first ones of each job first, as far as the budgets allow; the others wait
 * until open ones have ended. Makes the next tick run when the next one becomes due.
 */
void openDueOccurrences(Entry &entry, const TickTime &time);

/** Removes an occurrence from the tables, with its groups and tasks. It must be closed and have no runs. */
void eraseOccurrence(Entry &entry, OccurrenceRef occurrence);

/** Returns the estimated size of the rows of all open occurrences, in bytes. */
std::size_t openRowBytes(const Entry &entry);

/** Returns the number of jobs with a due occurrence that waits for a budget. */
std::size_t heldJobs(const Entry &entry);

} // namespace flamingotally::dispatch
