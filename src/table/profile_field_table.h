/** @file profile_field_table.h Fields of a profile. Defaults: profile_base.h. */
#pragma once

#include "core/field_table.h"
#include "profile_base.h"
#include "table/profile_table.h"

namespace flamingotally
{

using ProfileFieldRow = FieldRow<ProfileSpec, WorkKind, QueueAccess, Urgency, CutOffRule, Spread>;

constexpr std::int64_t maxProfileDuration = 7 * 24 * std::int64_t{3'600'000};

inline constexpr std::array profileFieldTable = {
    ProfileFieldRow{"kind", FieldKind::Choice, &ProfileSpec::kind, 0, 0, "Shape of the work."},
    ProfileFieldRow{"access", FieldKind::Choice, &ProfileSpec::access, 0, 0, "Who may submit."},
    ProfileFieldRow{"urgency", FieldKind::Choice, &ProfileSpec::urgency, 0, 0, "Class of urgency."},
    ProfileFieldRow{"whenCutOff",
                    FieldKind::Choice,
                    &ProfileSpec::whenCutOff,
                    0,
                    0,
                    "Whether work in a failure domain that is cut off stays there or moves."},
    ProfileFieldRow{"spread", FieldKind::Choice, &ProfileSpec::spread, 0, 0, "Over what the tasks are spread."},
    ProfileFieldRow{
        "idempotent", FieldKind::Flag, &ProfileSpec::idempotent, 0, 0, "Whether a task may be started again."},
    ProfileFieldRow{
        "checkpoint", FieldKind::Flag, &ProfileSpec::checkpoint, 0, 0, "Whether its tasks can be checkpointed."},
    ProfileFieldRow{"maxRetries", FieldKind::Count, &ProfileSpec::maxRetries, 0, 100, "Attempts after the first."},
    ProfileFieldRow{"retryBackoffMs",
                    FieldKind::Duration,
                    &ProfileSpec::retryBackoff,
                    0,
                    60'000,
                    "Pause before the first retry; it doubles with each."},
    ProfileFieldRow{"leaseMs",
                    FieldKind::Duration,
                    &ProfileSpec::lease,
                    1'000,
                    600'000,
                    "How long a worker runs an attempt without renewal."},
    ProfileFieldRow{"maxWaitMs",
                    FieldKind::Duration,
                    &ProfileSpec::maxWait,
                    0,
                    maxProfileDuration,
                    "Work not started by then is withdrawn; 0 for no bound."},
    ProfileFieldRow{"maxRunMs",
                    FieldKind::Duration,
                    &ProfileSpec::maxRun,
                    0,
                    maxProfileDuration,
                    "An attempt that runs longer is stopped; 0 for no bound."},
    ProfileFieldRow{"team", FieldKind::Name, &ProfileSpec::team, 0, 63, "Team it belongs to; empty for all teams."},
};

} // namespace flamingotally
