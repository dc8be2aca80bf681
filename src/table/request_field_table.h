/**
 * @file request_field_table.h Fields of the requests of callers and operators: names, kinds, bounds and descriptions.
 */
#pragma once

#include "command_func.h"
#include "core/field_table.h"
#include "message_type.h"
#include "table/team_table.h"

namespace flamingotally
{

using SubmitFieldRow = FieldRow<SubmitAction>;

constexpr std::int64_t maxRunEstimateMs = 365 * 24 * std::int64_t{3'600'000};

inline constexpr std::array submitFieldTable = {
    SubmitFieldRow{"name", FieldKind::Text, &SubmitAction::name, 0, 200, "Display name of the job."},
    SubmitFieldRow{"profile", FieldKind::Name, &SubmitAction::profile, 1, 63, "Name of the profile."},
    SubmitFieldRow{
        "count", FieldKind::Count, &SubmitAction::count, 1, limits::maxTasksPerJob, "Number of tasks, all equal."},
    SubmitFieldRow{"runEstimateMs",
                   FieldKind::Duration,
                   &SubmitAction::runEstimate,
                   0,
                   maxRunEstimateMs,
                   "Declared run time of a task; 0 when not known."},
    SubmitFieldRow{"payload",
                   FieldKind::Text,
                   &SubmitAction::payload,
                   0,
                   static_cast<std::int64_t>(limits::maxPayloadBytes),
                   "Text that is passed unchanged to the worker."},
};

using TeamFieldRow = FieldRow<TeamPolicy>;

inline constexpr std::array teamFieldTable = {
    TeamFieldRow{"share",
                 FieldKind::Count,
                 &TeamPolicy::share,
                 1,
                 1'000'000,
                 "Weight of the team relative to other teams when the cell is full."},
    TeamFieldRow{"queueLimit",
                 FieldKind::Count,
                 &TeamPolicy::queueLimit,
                 0,
                 1'000'000,
                 "Upper limit of the number of waiting tasks."},
};

/** Body of a request that grants a key. */
struct KeyRequest {
    std::string digest; ///< SHA-256 of the key as 64 hexadecimal digits.
    std::string team; ///< Empty for operators' keys.
    KeyRole role = KeyRole::Submitter;
};

using KeyFieldRow = FieldRow<KeyRequest, KeyRole>;

inline constexpr std::array keyFieldTable = {
    KeyFieldRow{"digest", FieldKind::Digest, &KeyRequest::digest, 64, 64, "SHA-256 of the key."},
    KeyFieldRow{"team", FieldKind::Name, &KeyRequest::team, 0, 63, "Team that the key acts for; empty for operators."},
    KeyFieldRow{"role", FieldKind::Choice, &KeyRequest::role, 0, 0, "Role, which decides what the key allows."},
};

} // namespace flamingotally
