/** @file job_trace.h Joins the log lines of several daemons into the trace of one job. */
#pragma once

#include "dispatch/event_type.h"

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingotally
{

/** A parsed log line. */
struct TraceLine {
    std::int64_t timeMs = 0; ///< Milliseconds since the Unix epoch, by the daemon's wall clock.
    std::string daemon;
    dispatch::EventKind kind = dispatch::EventKind::End;
    dispatch::JobId job = 0; ///< Zero when the line is about no job.
    std::string worker; ///< Worker that the line names; empty for none.
    std::string fields; ///< Rest of the line after the name of the event.
};

/** Parses a log line; unset when the line is not an event of an entry daemon. */
std::optional<TraceLine> parseTraceLine(std::string_view line);

/** Parses the lines of a stream and skips those that are not events. */
std::vector<TraceLine> readTraceLines(std::istream &stream);

/**
 * Selects the lines that belong to a job: all lines that name the job and, from 2 s before the first to 2 s after the
 * last of them, changes of ownership and events of the daemons and workers in these lines. Among the lines that name
 * the job its acceptance comes first, even if the daemons' clocks disagree; otherwise the lines are sorted by time.
 * @return Empty when no line names the job.
 */
std::vector<TraceLine> traceOf(const std::vector<TraceLine> &lines, dispatch::JobId job);

} // namespace flamingotally
