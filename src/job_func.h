/** @file job_func.h How tasks and jobs change state. Called by commands only. */
#pragma once

#include "command_func.h"

namespace flamingotally
{

/** Judges whether work of this size can ever run, and whether its team may queue it. */
Reason testNewWork(const Tables &tables, TeamRef team, const ProfileSpec &profileSpec, const SubmitJob &command);

/**
 * Finds the team that a submission counts against.
 * @param tables The replicated tables.
 * @param spec The profile it names.
 * @param key The key that came with it; unset for none.
 * @param team Set to the team when the result is `None`.
 * @return Why it is not accepted for any team.
 */
Reason teamOfSubmission(const Tables &tables, const ProfileSpec &spec, KeyRef key, TeamRef &team);

/** Ends a task that has no live attempt, and its job with the last one. */
void endTask(Tables &tables, const RecordContext &context, TaskRef task, Outcome outcome);

/** Puts a task whose attempt has ended back into the queue. */
void returnTask(Tables &tables, const RecordContext &context, TaskRef task, Milliseconds pause);

/** Pause before the next attempt of a task: doubles with each failure, and is spread by a hash of the attempt. */
Milliseconds retryPause(const ProfileSpec &profileSpec, std::uint32_t failures, AttemptNumber attempt);

} // namespace flamingotally
