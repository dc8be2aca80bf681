/** @file job_type.h Jobs, tasks and attempts: references and states. */
#pragma once

#include "core/table.h"

namespace flamingotally
{

struct JobTag;
using JobRef = Ref<JobTag>;

struct TaskTag;
using TaskRef = Ref<TaskTag>;

struct AttemptTag;
using AttemptRef = Ref<AttemptTag>;

/** Number of an attempt: never reused in a cell, and increasing in the order of the log. */
using AttemptNumber = std::uint64_t;

/** Scheduling state of a task. */
enum class TaskPhase : std::uint8_t {
    Waiting, ///< The task has no live attempt and may be placed.
    Placed, ///< The task has a live attempt.
    Ended, ///< The task has its final outcome.
    End,
};

/** Outcome of a task, a job or an attempt. */
enum class Outcome : std::uint8_t {
    None, ///< The task, job or attempt has not ended.
    Succeeded,
    Failed, ///< The task reported failure, or ran longer than its profile allows.
    Cancelled, ///< Cancelled by its submitter or an operator. For an attempt: stopped by an order.
    Withdrawn, ///< The deadline passed before the start, so the task was not run.
    Checkpointed, ///< Stopped after saving its progress. Only for attempts.
    NeverStarted, ///< The worker did not accept the start and never will. Only for attempts.
    Lost, ///< May have run; the result is not known.
    End,
};

/** Reason for which a worker is ordered to stop an attempt. */
enum class StopCause : std::uint8_t {
    None, ///< The attempt is not being stopped.
    Cancelled, ///< Its job was cancelled.
    Preempted, ///< Its capacity is needed for other work, or another member of its gang must run again.
    Drained, ///< Its worker or failure domain is being drained.
    Overrun, ///< It ran longer than its profile allows.
    End,
};

} // namespace flamingotally
