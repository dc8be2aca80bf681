/** @file time_type.h Points in time and durations: one type a clock, so that they cannot be mixed. */
#pragma once

#include <chrono>

namespace flamingotally
{

using Milliseconds = std::chrono::milliseconds;

struct MonotonicClockTag;
struct LogClockTag;
struct WallClockTag;

/** Reading of this process's monotonic clock. Never leaves the process. */
using MonotonicTime = std::chrono::time_point<MonotonicClockTag, Milliseconds>;

/** Time at which the platform's log stored a record, since the Unix epoch. The only time that commands see. */
using LogTime = std::chrono::time_point<LogClockTag, Milliseconds>;

/** Wall time since the Unix epoch. Used in logs and in request ids only. */
using WallTime = std::chrono::time_point<WallClockTag, Milliseconds>;

struct WorkerClockTag;

/** Reading of one worker's own monotonic clock, as the worker reported it. */
using WorkerTime = std::chrono::time_point<WorkerClockTag, Milliseconds>;

} // namespace flamingotally
