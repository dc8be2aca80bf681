/** @file profile_field_table.h Names, kinds, bounds and descriptions of profile fields. Defaults: profile_base.h. */
#pragma once

#include "core/field_table.h"
#include "profile_base.h"
#include "table/profile_table.h"

namespace flamingotally
{

using ProfileFieldRow = FieldRow<ProfileSpec, WorkKind, QueueAccess, Urgency, CutOffRule, Spread>;

/** Largest value of `maxWaitMs` and `maxRunMs`: seven days. */
constexpr std::int64_t maxProfileDurationMs = 7 * 24 * std::int64_t{3'600'000};

/** Fields of a profile. The bounds of a field of kind `Name` limit the length of the text. */
inline constexpr std::array profileFieldTable = {
    ProfileFieldRow{"kind",
                    FieldKind::Choice,
                    &ProfileSpec::kind,
                    0,
                    0,
                    "Kind of work, which decides how its tasks are placed and retried."},
    ProfileFieldRow{"access",
                    FieldKind::Choice,
                    &ProfileSpec::access,
                    0,
                    0,
                    "Who may submit work under this profile: callers with a key of a team, or any caller."},
    ProfileFieldRow{"urgency", FieldKind::Choice, &ProfileSpec::urgency, 0, 0, "Priority class."},
    ProfileFieldRow{"whenCutOff",
                    FieldKind::Choice,
                    &ProfileSpec::whenCutOff,
                    0,
                    0,
                    "Whether work in a failure domain that is cut off from the rest of the cell stays there or moves."},
    ProfileFieldRow{"spread",
                    FieldKind::Choice,
                    &ProfileSpec::spread,
                    0,
                    0,
                    "Units over which the tasks of a job are spread: racks, failure domains or none."},
    ProfileFieldRow{"idempotent",
                    FieldKind::Flag,
                    &ProfileSpec::idempotent,
                    0,
                    0,
                    "Whether a task can be started again even if an earlier attempt has possibly run."},
    ProfileFieldRow{
        "checkpoint", FieldKind::Flag, &ProfileSpec::checkpoint, 0, 0, "Whether the tasks can be checkpointed."},
    ProfileFieldRow{"maxRetries",
                    FieldKind::Count,
                    &ProfileSpec::maxRetries,
                    0,
                    100,
                    "Largest number of retries of a task after failed attempts; not applied to services."},
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
                    "Time for which a worker runs an attempt without a renewal of the lease."},
    ProfileFieldRow{
        "maxWaitMs",
        FieldKind::Duration,
        &ProfileSpec::maxWait,
        0,
        maxProfileDurationMs,
        "Time after acceptance of the job at which a task that never had an attempt is withdrawn; 0 for no bound."},
    ProfileFieldRow{
        "maxRunMs",
        FieldKind::Duration,
        &ProfileSpec::maxRun,
        0,
        maxProfileDurationMs,
        "Longest time that an attempt may take, counted from its placement, before it is stopped; 0 for no bound."},
    ProfileFieldRow{
        "team", FieldKind::Name, &ProfileSpec::team, 0, 63, "Team that may use the profile; empty for all teams."},
};

} // namespace flamingotally
