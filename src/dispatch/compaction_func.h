/**
 * @file compaction_func.h Removes the specifications of jobs that have ended from the journal and the tables.
 *
 * Load: many short jobs, whose payload would otherwise be loaded again by each daemon until their retention ends.
 */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Returns true if a specification was removed; that of a job which may still run has at least one step. */
bool isCompact(const JobSpec &spec);

/** Returns true if a job has ended for good: the journal shows its end, and the owner has no active work of it. */
bool isFinished(const Entry &entry, JobRef job);

/** Makes an owner write the compact record of a finished job, unless the tables show that it is written already. */
void noteFinishedJob(Entry &entry, JobRef job);

/**
 * Handles an accepted record of a job that is known already: a compact one removes the specification from the tables;
 * another one, which was stored late once more and replaces a compact one, makes an owner write that again.
 */
void applyRepeatedRecord(Entry &entry, JobRef job, const AcceptedRecord &record);

/** Queues compact records of finished jobs for the batch that the owner makes now, at a bounded rate. */
void queueCompactRecords(Entry &entry, const TickTime &time);

/**
 * Removes compact jobs whose end was not loaded from the table. Their keys are being removed: between the page with the
 * job and the page with its progress, as the pages of a load are no snapshot, or by an owner that was lost meanwhile.
 */
void removeCompactJobsWithoutEnd(Jobs &jobs);

} // namespace flamingotally::dispatch
