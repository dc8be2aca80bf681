/** @file job_func.h State changes of tasks and jobs. Only commands call these functions. */
#pragma once

#include "command_func.h"

namespace flamingotally
{

/** Tests whether a job of this size can ever run, and whether its team may queue it. */
Reason testNewWork(const Tables &tables, TeamRef team, const ProfileSpec &profileSpec, const SubmitJob &command);

/**
 * Determines the team that a submission counts against.
 * @param tables The replicated tables.
 * @param spec Profile of the submission.
 * @param key Key that the request presented; unset for none.
 * @param[out] team Set to the team when the result is `None`.
 * @return `None`, or the reason for which no team can submit this.
 */
Reason resolveSubmissionTeam(const Tables &tables, const ProfileSpec &spec, KeyRef key, TeamRef &team);

/** Ends a task that has no live attempt; the end of its last task ends the job. */
void endTask(Tables &tables, const RecordContext &context, TaskRef task, Outcome outcome);

/** Requeues a task whose attempt has ended. It is not placed before the delay has passed. */
void requeueTask(Tables &tables, const RecordContext &context, TaskRef task, Milliseconds delay);

/**
 * Returns the backoff before the next attempt of a task. It doubles with each failure up to profilelimits::maxBackoff,
 * and jitter from a hash of the attempt number reduces it by up to a half.
 */
Milliseconds retryDelay(const ProfileSpec &profileSpec, std::uint32_t failures, AttemptNumber attempt);

} // namespace flamingotally
