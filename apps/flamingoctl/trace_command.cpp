#include "commands.h"
#include "dispatch/net/job_trace.h"

#include <fmt/format.h>

#include <charconv>
#include <fstream>

namespace flamingotally
{

namespace
{

constexpr int hexadecimal = 16;

/** Id of a job as 16 hexadecimal digits; unset when the text is none. */
std::optional<dispatch::JobId> jobIdOf(const std::string &text)
{
    dispatch::JobId id = 0;
    const auto *end = text.data() + text.size();
    const auto [rest, ec] = std::from_chars(text.data(), end, id, hexadecimal);
    return ec == std::errc{} && rest == end && id != 0 ? std::optional(id) : std::nullopt;
}

void printStory(const std::vector<TraceLine> &trace)
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
    const auto id = jobIdOf(arguments.front());
    if (!id) {
        fmt::print(stderr, "flamingoctl: '{}' is no job id of hexadecimal digits\n", arguments.front());
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
        fmt::print(stderr, "flamingoctl: no line names job {}\n", arguments.front());
        return ExitCode::NotFound;
    }
    printStory(trace);
    return ExitCode::Ok;
}

} // namespace flamingotally
