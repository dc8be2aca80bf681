/** @file work_step.h Small operations on the owner's tables that work.cpp and work_end.cpp share. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Marks that the progress of an occurrence has to be written. */
void markDirty(Work &work, OccurrenceRef occurrence);

/** Adds a group to the waiting groups if it is open. */
void listGroup(Work &work, GroupRef group);

/** Returns the occurrence that a task belongs to. */
OccurrenceRef occurrenceOf(const Work &work, TaskRef task);

/** Returns true if all tasks of a group are done. */
bool isDone(const Work &work, GroupRef group);

/** Returns true if at least half of the tasks of a group are done. */
bool isHalfDone(const Work &work, GroupRef group);

/**
 * Schedules requests to the policy service for groups whose earlier steps are half done, so that tickets are there when
 * the groups open.
 */
void prefetchAdvice(Entry &entry, OccurrenceRef occurrence);

/** Opens the groups of an occurrence whose earlier steps are done. */
void openGroups(Entry &entry, OccurrenceRef occurrence, const TickTime &time);

/** Closes an occurrence as completed if all its groups are done. */
void completeIfDone(Entry &entry, OccurrenceRef occurrence);

} // namespace flamingotally::dispatch
