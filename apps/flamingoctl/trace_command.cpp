#include "commands.h"
#include "dispatch/net/job_trace.h"

#include <fmt/format.h>

#include <charconv>
#include <fstream>

namespace flamingotally
{

namespace
{

constexpr int hexadecimalBase = 16;

/** Parses a job id of hexadecimal digits; `std::nullopt` when the text is malformed or the id is zero. */
std::optional<dispatch::JobId> parseJobId(const std::string &text)
{
    dispatch::JobId id = 0;
    const auto *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, id, hexadecimalBase);
    return ec == std::errc{} && rest == end && id != 0 ? std::optional(id) : std::nullopt;
}

/** Prints the events of a job with their times in ms relative to the first event. */
void printTrace(const std::vector<TraceLine> &trace)
{
    const auto begin = trace.front().timeMs;
    for (const auto &it : trace) {
        fmt::print("{:>+8} ms  {:<20} {:<18} {}\n",
                   it.timeMs - begin,
                   it.daemon,
                   nameOf(dispatch::eventKindTable, it.kind),
                   it.fields);
    }
}

} // namespace

ExitCode traceJob(Session & /*session*/, const Arguments &arguments)
{
    const auto id = parseJobId(arguments.front());
    if (!id) {
        fmt::print(stderr, "flamingoctl: '{}' is not a job id of hexadecimal digits\n", arguments.front());
        return ExitCode::Usage;
    }
    std::vector<TraceLine> lines;
    for (std::size_t n = 1; n < arguments.size(); ++n) {
        std::ifstream file(arguments[n]);
        if (!file) {
            fmt::print(stderr, "flamingoctl: cannot read '{}'\n", arguments[n]);
            return ExitCode::Usage;
        }
        auto more = readTraceLines(file);
        lines.insert(lines.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    }
    const auto trace = traceOf(lines, *id);
    if (trace.empty()) {
        fmt::print(stderr, "flamingoctl: no log line names job {}\n", arguments.front());
        return ExitCode::NotFound;
    }
    printTrace(trace);
    return ExitCode::Ok;
}

} // namespace flamingotally
