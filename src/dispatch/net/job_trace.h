/** @file job_trace.h Joins the log lines of several daemons into the story of one job. */
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

/** A line of the log, read back. */
struct TraceLine {
    std::int64_t timeMs = 0; ///< By the daemon's wall clock, in milliseconds since the Unix epoch.
    std::string daemon;
    dispatch::EventKind kind = dispatch::EventKind::End;
    dispatch::JobId job = 0; ///< Zero when it is about no job.
    std::string worker; ///< Worker that it names; empty for none.
    std::string fields; ///< All that follows the event's name.
};

/** Reads a line; unset when it is no event of an entry daemon. */
std::optional<TraceLine> parseTraceLine(std::string_view line);

/** Reads the lines of a stream; passes over those that are no events. */
std::vector<TraceLine> readTraceLines(std::istream &stream);

/**
 * Picks what belongs to a job: its own lines, and, while it was in hand, changes of owner, and what befell the daemons
 * that had it and the workers that it ran on. A job's acceptance comes first, whatever the clocks of its daemons say;
 * the rest goes by time.
 * @return Empty when no line names the job.
 */
std::vector<TraceLine> traceOf(const std::vector<TraceLine> &lines, dispatch::JobId job);

} // namespace flamingotally
