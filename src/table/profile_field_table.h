/** @file profile_field_table.h Fields of a profile: names, kinds, bounds and descriptions. Defaults: profile_base.h. */
#pragma once

#include "core/field_table.h"
#include "profile_base.h"
#include "table/profile_table.h"

namespace flamingotally
{

using ProfileFieldRow = FieldRow<ProfileSpec, WorkKind, QueueAccess, Urgency, CutOffRule, Spread>;

constexpr std::int64_t maxProfileDurationMs = 7 * 24 * std::int64_t{3'600'000};

inline constexpr std::array profileFieldTable = {
    ProfileFieldRow{"kind",
                    FieldKind::Choice,
                    &ProfileSpec::kind,
                    0,
                    0,
                    "Kind of work, which decides how its tasks are placed and retried."},
    ProfileFieldRow{"access", FieldKind::Choice, &ProfileSpec::access, 0, 0, "Who may submit work under this profile."},
    ProfileFieldRow{"urgency", FieldKind::Choice, &ProfileSpec::urgency, 0, 0, "Priority class."},
    ProfileFieldRow{"whenCutOff",
                    FieldKind::Choice,
                    &ProfileSpec::whenCutOff,
                    0,
                    0,
                    "Whether work in a failure domain that is cut off stays there or moves."},
    ProfileFieldRow{
        "spread", FieldKind::Choice, &ProfileSpec::spread, 0, 0, "Units over which the tasks of a job are spread."},
    ProfileFieldRow{"idempotent",
                    FieldKind::Flag,
                    &ProfileSpec::idempotent,
                    0,
                    0,
                    "Whether a task may be started again although an earlier attempt may have run."},
    ProfileFieldRow{
        "checkpoint", FieldKind::Flag, &ProfileSpec::checkpoint, 0, 0, "Whether the tasks can be checkpointed."},
    ProfileFieldRow{"maxRetries",
                    FieldKind::Count,
                    &ProfileSpec::maxRetries,
                    0,
                    100,
                    "Largest number of retries after failures of a task."},
    ProfileFieldRow{"retryBackoffMs",
                    FieldKind::Duration,
                    &ProfileSpec::retryBackoff,
                    0,
                    60'000,
                    "Backoff before the first retry; it doubles with each further retry."},
    ProfileFieldRow{"leaseMs",
                    FieldKind::Duration,
                    &ProfileSpec::lease,
                    1'000,
                    600'000,
                    "Time for which a worker runs an attempt without a renewal."},
    ProfileFieldRow{"maxWaitMs",
                    FieldKind::Duration,
                    &ProfileSpec::maxWait,
                    0,
                    maxProfileDurationMs,
                    "Time after acceptance at which a task without an attempt is withdrawn; 0 for no bound."},
    ProfileFieldRow{"maxRunMs",
                    FieldKind::Duration,
                    &ProfileSpec::maxRun,
                    0,
                    maxProfileDurationMs,
                    "Time after its placement at which an attempt is stopped; 0 for no bound."},
    ProfileFieldRow{
        "team", FieldKind::Name, &ProfileSpec::team, 0, 63, "Team that may use the profile; empty for all teams."},
};

} // namespace flamingotally
