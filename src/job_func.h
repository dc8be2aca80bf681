/** @file job_func.h State changes of tasks and jobs. Only commands call these functions. */
#pragma once

#include "command_func.h"

namespace flamingotally
{

/**
 * Tests the size of a new job: whether its values are valid, whether the fleet and the limit of its team can ever run
 * it, and whether the queue of the team has capacity for its tasks.
 * @return `None` when the job passes, otherwise the reason against it.
 */
Reason testNewWork(const Tables &tables, TeamRef team, const ProfileSpec &profileSpec, const SubmitJob &command);

/**
 * Determines the team that a submission counts against.
 * @param tables The replicated tables.
 * @param spec Profile of the submission.
 * @param key Key that the request presented; unset for none.
 * @param[out] team Set to the team. Valid only when the function returns `None`.
 * @return `None`, or the reason why the submission is refused.
 */
Reason resolveSubmissionTeam(const Tables &tables, const ProfileSpec &spec, KeyRef key, TeamRef &team);

/** Ends a task whose attempt, if it had one, has ended. Ends the job when all of its tasks have ended. */
void endTask(Tables &tables, const RecordContext &context, TaskRef task, Outcome outcome);

/** Requeues a task whose attempt has ended. The task is not placed before the delay has passed. */
void requeueTask(Tables &tables, const RecordContext &context, TaskRef task, Milliseconds delay);

/**
 * Returns the backoff before the next attempt of a task. It doubles with each failure up to profilelimits::maxBackoff,
 * and jitter from a hash of the attempt number reduces it by up to a half.
 */
Milliseconds retryDelay(const ProfileSpec &profileSpec, std::uint32_t failures, AttemptNumber attempt);

} // namespace flamingotally
