/** @file field_table.h JSON fields of the stand-in: tasks and faults. */
#pragma once

#include "core/field_table.h"
#include "standin_type.h"
#include "task_type.h"

namespace flamingotally::standin
{

constexpr std::int64_t maxRunMs = 86'400'000;
constexpr std::int64_t maxTextBytes = 64 * 1024;
constexpr std::int64_t maxResultBytes = 16 * 1024 * 1024;

using TaskFieldRow = FieldRow<Task>;

inline constexpr std::array taskFieldTable = {
    TaskFieldRow{"runMs", FieldKind::Duration, &Task::run, 0, maxRunMs, "Real run time."},
    TaskFieldRow{"service", FieldKind::Flag, &Task::service, 0, 1, "Runs until it is stopped."},
    TaskFieldRow{"fail", FieldKind::Flag, &Task::fail, 0, 1, "Fails at the end of its run."},
    TaskFieldRow{"result", FieldKind::Text, &Task::result, 0, maxTextBytes, "Result of the task."},
    TaskFieldRow{
        "resultBytes", FieldKind::Bytes, &Task::resultBytes, 0, maxResultBytes, "Length of the result in bytes."},
    TaskFieldRow{"usagePercent",
                 FieldKind::Count,
                 &Task::usagePercent,
                 0,
                 1'000,
                 "Usage, in percent of the declared resources."},
};

using PlatformFieldRow = FieldRow<PlatformFaults, LogOutage>;

inline constexpr std::array platformFieldTable = {
    PlatformFieldRow{"logOutage", FieldKind::Choice, &PlatformFaults::logOutage, 0, 0, "Kind of log outage."},
    PlatformFieldRow{"appendLatencyMs",
                     FieldKind::Duration,
                     &PlatformFaults::appendLatency,
                     0,
                     maxRunMs,
                     "Time from the arrival of an append until its record is stored."},
    PlatformFieldRow{"readLatencyMs",
                     FieldKind::Duration,
                     &PlatformFaults::readLatency,
                     0,
                     maxRunMs,
                     "Minimum time until a read is answered."},
    PlatformFieldRow{"loseAppendAnswers",
                     FieldKind::Count,
                     &PlatformFaults::loseAppendAnswers,
                     0,
                     1'000'000,
                     "Number of upcoming appends that are stored without a response."},
    PlatformFieldRow{"hostListDown",
                     FieldKind::Flag,
                     &PlatformFaults::hostListDown,
                     0,
                     1,
                     "Requests for the host list are refused."},
};

using HostFieldRow = FieldRow<HostFaults, HostState>;

inline constexpr std::array hostFieldTable = {
    HostFieldRow{"life", FieldKind::Choice, &HostFaults::state, 0, 0, "State of the host."},
    HostFieldRow{"failsAll", FieldKind::Flag, &HostFaults::failsAll, 0, 1, "Every task on the host fails."},
    HostFieldRow{"paused", FieldKind::Flag, &HostFaults::paused, 0, 1, "The host is frozen and sends no responses."},
};

} // namespace flamingotally::standin
