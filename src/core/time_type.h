/** @file time_type.h Points in time and durations: a separate type for each clock, so that they cannot be mixed. */
#pragma once

#include <chrono>

namespace flamingotally
{

using Milliseconds = std::chrono::milliseconds;

struct MonotonicClockTag;
struct LogClockTag;
struct WallClockTag;

/** Time of this process's monotonic clock. Never leaves the process. */
using MonotonicTime = std::chrono::time_point<MonotonicClockTag, Milliseconds>;

/**
 * Time of the clock of the platform's log, which stamps each record, since the Unix epoch. Commands use no other
 * clock.
 */
using LogTime = std::chrono::time_point<LogClockTag, Milliseconds>;

/** Wall time since the Unix epoch. Used only in log lines and in request ids. */
using WallTime = std::chrono::time_point<WallClockTag, Milliseconds>;

struct WorkerClockTag;

/** Time of a worker's own monotonic clock, as the worker reported it. */
using WorkerTime = std::chrono::time_point<WorkerClockTag, Milliseconds>;

} // namespace flamingotally
