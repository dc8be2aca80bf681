/** @file job_table.h Names of the task phases, outcomes and stop causes. */
#pragma once

#include "core/enum_table.h"
#include "job_type.h"

namespace flamingotally
{

constexpr EnumTable<TaskPhase> taskPhaseTable{{
    {TaskPhase::Waiting, "waiting"},
    {TaskPhase::Placed, "placed"},
    {TaskPhase::Ended, "ended"},
}};
static_assert(isComplete(taskPhaseTable));

constexpr EnumTable<Outcome> outcomeTable{{
    {Outcome::None, "none"},
    {Outcome::Succeeded, "succeeded"},
    {Outcome::Failed, "failed"},
    {Outcome::Cancelled, "cancelled"},
    {Outcome::Withdrawn, "withdrawn"},
    {Outcome::Checkpointed, "checkpointed"},
    {Outcome::NeverStarted, "never_started"},
    {Outcome::Lost, "lost"},
}};
static_assert(isComplete(outcomeTable));

constexpr EnumTable<StopCause> stopCauseTable{{
    {StopCause::None, "none"},
    {StopCause::Cancelled, "cancelled"},
    {StopCause::Preempted, "preempted"},
    {StopCause::Drained, "drained"},
    {StopCause::Overrun, "overrun"},
}};
static_assert(isComplete(stopCauseTable));

} // namespace flamingotally
