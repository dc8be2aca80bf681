/** @file log_line.h Diagnostic log of a daemon: one structured line per event, on standard error. */
#pragma once

#include "core/time_type.h"
#include "log_type.h"
#include "step_type.h"

#include <absl/status/status.h>

#include <initializer_list>
#include <string>
#include <string_view>

namespace flamingotally
{

/** A key and its value in a log line. */
struct LogField {
    std::string_view key; ///< Name that consists of letters only.
    std::string value; ///< Any text; escaped when the line is formatted.
};

/** Content of a log line. */
struct LogLine {
    LogLevel level = LogLevel::Info;
    Step step = Step::End; ///< Processing step of the event; `End` for none.
    std::string_view peer; ///< Name or address of the other process; empty for none.
    std::string_view message; ///< One sentence.
};

/**
 * Formats a line as key=value pairs. Values with blanks, quotes, backslashes, equals signs or control characters are
 * quoted and escaped, so that no value can break the line.
 * @param at Wall time of the event.
 * @param line Level, step, peer and message.
 * @param fields Further pairs.
 */
std::string formatLogLine(WallTime at, const LogLine &line, std::initializer_list<LogField> fields);

/** Writes log lines to standard error, except those below a minimum level. */
class Logger
{
public:
    explicit Logger(LogLevel minLevel) : m_minLevel(minLevel)
    {
    }

    /** Writes a line with the current wall time. */
    void write(const LogLine &line, std::initializer_list<LogField> fields = {}) const;

    /** Writes a line for an error, with the step and the peer that the error names. */
    void write(LogLevel level, const absl::Status &error, std::initializer_list<LogField> fields = {}) const;

private:
    LogLevel m_minLevel;
};

} // namespace flamingotally
