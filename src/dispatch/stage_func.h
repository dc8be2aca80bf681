/** @file stage_func.h Records how long tasks were in each stage, and what made an occurrence late. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Records the stages of a run that is done, as those of the task of its group that was done last. */
void recordStages(Entry &entry, RunRef run, const TickTime &time);

/**
 * Returns the stages of an occurrence whose tasks are all done: the sum over the chain of steps that ended last, of
 * each step the task that was done last.
 */
StageTimes stagesOf(const Entry &entry, OccurrenceRef occurrence);

/** Returns the times as "key=value" pairs for a log line. */
std::string describeStages(const StageTimes &stages);

/** Logs that an occurrence with a waiting group has become too late to be useful, and what the group waits for. */
void logOverdue(Entry &entry, GroupRef group, const TickTime &time);

} // namespace flamingotally::dispatch
