#include "net/log_line.h"

#include "core/error.h"
#include "net/clock.h"
#include "net/event_line.h"
#include "table/log_table.h"
#include "table/step_table.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cstdio>

namespace flamingotally
{

namespace
{

constexpr std::int64_t millisecondsPerSecond = 1'000;

void addPair(std::string &text, std::string_view key, std::string_view value)
{
    text += fmt::format(" {}={}", key, escapedValue(value));
}

} // namespace

std::string formatLogLine(WallTime at, const LogLine &line, std::initializer_list<LogField> fields)
{
    const auto milliseconds = at.time_since_epoch().count();
    const auto seconds = fmt::gmtime(static_cast<std::time_t>(milliseconds / millisecondsPerSecond));
    auto text = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z", seconds, milliseconds % millisecondsPerSecond);
    addPair(text, "level", nameOf(logLevelTable, line.level));
    if (line.step != Step::End) {
        addPair(text, "step", nameOf(stepTable, line.step));
    }
    if (!line.peer.empty()) {
        addPair(text, "peer", line.peer);
    }
    addPair(text, "message", line.message);
    for (const auto &[key, value] : fields) {
        addPair(text, key, value);
    }
    return text;
}

void Logger::write(const LogLine &line, std::initializer_list<LogField> fields) const
{
    if (line.level >= m_minLevel) {
        const auto text = formatLogLine(SystemClock().wallNow(), line, fields) + '\n';
        std::fwrite(text.data(), 1, text.size(), stderr); // a log without a reader is no reason to end
    }
}

void Logger::write(LogLevel level, const absl::Status &error, std::initializer_list<LogField> fields) const
{
    const auto peer = peerOf(error);
    write(LogLine{level, stepOf(error), peer, std::string_view(error.message().data(), error.message().size())},
          fields);
}

} // namespace flamingotally
