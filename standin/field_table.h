/** @file field_table.h JSON fields of the stand-in: those of a task's payload and those of faults. */
#pragma once

#include "core/field_table.h"
#include "standin_type.h"
#include "task_type.h"

namespace flamingotally::standin
{

constexpr std::int64_t maxDurationMs = 86'400'000; ///< Maximum of every duration: one day.
constexpr std::int64_t maxTextBytes = 64 * 1024;
constexpr std::int64_t maxResultBytes = 16 * 1024 * 1024;

using TaskFieldRow = FieldRow<Task>;

inline constexpr std::array taskFieldTable = {
    TaskFieldRow{"runMs", FieldKind::Duration, &Task::runTime, 0, maxDurationMs, "Real run time."},
    TaskFieldRow{"service", FieldKind::Flag, &Task::isService, 0, 1, "The task runs until it is stopped."},
    TaskFieldRow{"fail", FieldKind::Flag, &Task::shouldFail, 0, 1, "The task fails at the end of its run time."},
    TaskFieldRow{"result",
                 FieldKind::Text,
                 &Task::result,
                 0,
                 maxTextBytes,
                 "Result of the task, or the text that is repeated up to resultBytes."},
    TaskFieldRow{"resultBytes",
                 FieldKind::Bytes,
                 &Task::resultBytes,
                 0,
                 maxResultBytes,
                 "Length of the result in bytes; zero leaves the result as it is."},
    TaskFieldRow{"usagePercent",
                 FieldKind::Count,
                 &Task::usagePercent,
                 0,
                 1'000,
                 "Resources that the task uses, in percent of those declared for it."},
};

using PlatformFieldRow = FieldRow<PlatformFaults, LogOutage>;

inline constexpr std::array platformFieldTable = {
    PlatformFieldRow{"logOutage", FieldKind::Choice, &PlatformFaults::logOutage, 0, 0, "Kind of outage of the log."},
    PlatformFieldRow{"appendLatencyMs",
                     FieldKind::Duration,
                     &PlatformFaults::appendLatency,
                     0,
                     maxDurationMs,
                     "Time from the arrival of an append until its record is stored."},
    PlatformFieldRow{"readLatencyMs",
                     FieldKind::Duration,
                     &PlatformFaults::readLatency,
                     0,
                     maxDurationMs,
                     "Minimum time from the arrival of a read to its response."},
    PlatformFieldRow{"loseAppendAnswers",
                     FieldKind::Count,
                     &PlatformFaults::loseAppendAnswers,
                     0,
                     1'000'000,
                     "Number of next appends that are stored, but get no response."},
    PlatformFieldRow{"hostListDown",
                     FieldKind::Flag,
                     &PlatformFaults::isHostListDown,
                     0,
                     1,
                     "Requests for the host list are refused."},
};

using HostFieldRow = FieldRow<HostFaults, HostState>;

inline constexpr std::array hostFieldTable = {
    HostFieldRow{"life", FieldKind::Choice, &HostFaults::state, 0, 0, "State of the host."},
    HostFieldRow{"failsAll", FieldKind::Flag, &HostFaults::failsAll, 0, 1, "Every task on the host fails."},
    HostFieldRow{"paused", FieldKind::Flag, &HostFaults::isPaused, 0, 1, "The host is frozen and sends no responses."},
};

} // namespace flamingotally::standin
