/** @file work_step.h Small operations on the owner's tables that work.cpp and work_end.cpp share. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Marks an occurrence as dirty, so that its progress is written to the journal. */
void markDirty(Work &work, OccurrenceRef occurrence);

/**
 * Has the progress of an occurrence written to the journal soon. For changes that nobody waits for, such as the end of
 * one of many tasks: an occurrence is written as a whole and read by all daemons, so the more there are, the longer it
 * waits.
 */
void deferWrite(Entry &entry, OccurrenceRef occurrence, const TickTime &time);

/** Marks the occurrences dirty whose writing was deferred. */
void markDeferredDirty(Work &work);

/** Adds an open group to the waiting groups, unless it is there already. Makes the next placement pass run early. */
void listGroup(Work &work, GroupRef group);

/** Returns the occurrence that a task belongs to. */
OccurrenceRef occurrenceOf(const Work &work, TaskRef task);

/** Returns true if all tasks of a group are done. */
bool isDone(const Work &work, GroupRef group);

/** Returns true if at least half of the tasks of a group are done. */
bool isHalfDone(const Work &work, GroupRef group);

/**
 * Queues requests to the policy service for the groups of an occurrence whose earlier steps are at least half done, so
 * that their tickets have been granted when the groups open.
 */
void prefetchAdvice(Entry &entry, OccurrenceRef occurrence);

/** Opens the groups whose earlier steps are done; does nothing for a closed occurrence. */
void openGroups(Entry &entry, OccurrenceRef occurrence, const TickTime &time);

/** Closes an occurrence as completed if all its groups are done. */
void completeIfDone(Entry &entry, OccurrenceRef occurrence, const TickTime &time);

} // namespace flamingotally::dispatch
