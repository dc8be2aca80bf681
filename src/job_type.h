/** @file job_type.h Jobs, tasks and attempts: addresses and states. */
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

/** Number of an attempt: unique in the life of the cell, rising in the order of the log. */
using AttemptNumber = std::uint64_t;

/** Where a task stands. */
enum class TaskPhase : std::uint8_t {
    Waiting, ///< Has no live attempt and may get one.
    Placed, ///< Has a live attempt.
    Ended,
    End,
};

/** How a task, a job or an attempt ended. */
enum class Outcome : std::uint8_t {
    None, ///< Has not ended.
    Succeeded,
    Failed, ///< The work itself reported failure, or ran past its bound.
    Cancelled, ///< By its submitter.
    Withdrawn, ///< Its deadline passed before it started: not run.
    Checkpointed, ///< Stopped after saving its progress; only of attempts.
    NeverStarted, ///< The worker never took the start and never will; only of attempts.
    Lost, ///< May have run, and nobody knows to what end.
    End,
};

/** Why the worker is asked to stop an attempt. */
enum class StopCause : std::uint8_t {
    None,
    Cancelled,
    Preempted,
    Drained,
    Overrun,
    End,
};

} // namespace flamingotally
