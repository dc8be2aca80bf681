/** @file field_table.h Fields of the stand-in's JSON: tasks and faults. */
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
    TaskFieldRow{"result", FieldKind::Text, &Task::result, 0, maxTextBytes, "Its answer."},
    TaskFieldRow{"resultBytes", FieldKind::Bytes, &Task::resultBytes, 0, maxResultBytes, "Length of its answer."},
    TaskFieldRow{"usagePercent", FieldKind::Count, &Task::usagePercent, 0, 1'000, "Part of the need that is used."},
};

using PlatformFieldRow = FieldRow<PlatformFaults, LogOutage>;

inline constexpr std::array platformFieldTable = {
    PlatformFieldRow{"logOutage", FieldKind::Choice, &PlatformFaults::logOutage, 0, 0, "How the log is down."},
    PlatformFieldRow{"appendLatencyMs",
                     FieldKind::Duration,
                     &PlatformFaults::appendLatency,
                     0,
                     maxRunMs,
                     "Time from an append to its being stored."},
    PlatformFieldRow{
        "readLatencyMs", FieldKind::Duration, &PlatformFaults::readLatency, 0, maxRunMs, "Least time of a read."},
    PlatformFieldRow{"loseAppendAnswers",
                     FieldKind::Count,
                     &PlatformFaults::loseAppendAnswers,
                     0,
                     1'000'000,
                     "So many of the next appends are stored without an answer."},
    PlatformFieldRow{
        "hostListDown", FieldKind::Flag, &PlatformFaults::hostListDown, 0, 1, "The host list gives no answer."},
};

using HostFieldRow = FieldRow<HostFaults, HostState>;

inline constexpr std::array hostFieldTable = {
    HostFieldRow{"life", FieldKind::Choice, &HostFaults::state, 0, 0, "How far the host is in its life."},
    HostFieldRow{"failsAll", FieldKind::Flag, &HostFaults::failsAll, 0, 1, "Fails everything it starts."},
    HostFieldRow{"paused", FieldKind::Flag, &HostFaults::paused, 0, 1, "Stands still."},
};

} // namespace flamingotally::standin
