/** @file work_step.h Small steps over the owner's tables that the sources of work.cpp and work_end.cpp share. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Marks that the progress of an occurrence has to be written. */
void markDirty(Work &work, OccurrenceRef occurrence);

/** Puts a group on the list of those that wait, when it is open. */
void listGroup(Work &work, GroupRef group);

/** Occurrence that a task belongs to. */
OccurrenceRef occurrenceOf(const Work &work, TaskRef task);

/** Tells whether all tasks of a group have ended well. */
bool isDone(const Work &work, GroupRef group);

/** Tells whether half of the tasks of a group or more have ended well. */
bool isHalfDone(const Work &work, GroupRef group);

/** Has the policy service asked about groups whose earlier steps are half done, so that tickets are there in time. */
void askAhead(Entry &entry, OccurrenceRef occurrence);

/** Opens the groups of an occurrence whose earlier steps are done. */
void openGroups(Entry &entry, OccurrenceRef occurrence, const TickTime &time);

/** Ends an occurrence when all its groups are done. */
void completeIfDone(Entry &entry, OccurrenceRef occurrence);

} // namespace flamingotally::dispatch
