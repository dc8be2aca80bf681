/** @file log_line.h The log that people read: one structured line an event, to standard error. */
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

/** An id or figure that belongs to a line. */
struct LogField {
    std::string_view key; ///< Name of letters.
    std::string value; ///< Any text; it is escaped.
};

/** What a line is about. */
struct LogLine {
    LogLevel level = LogLevel::Info;
    Step step = Step::End; ///< Step at which it happened; `End` for none.
    std::string_view peer; ///< Name or address of the other side; empty for none.
    std::string_view message; ///< One sentence.
};

/**
 * Writes a line as key=value pairs. Values with blanks, quotes or control characters are quoted and escaped, so that
 * a line stays a line.
 * @param at Wall time of the event.
 * @param line What happened.
 * @param fields Ids and figures.
 */
std::string formatLogLine(WallTime at, const LogLine &line, std::initializer_list<LogField> fields);

/** Writes lines of at least some level to standard error. */
class Logger
{
public:
    explicit Logger(LogLevel least) : m_least(least)
    {
    }

    void write(const LogLine &line, std::initializer_list<LogField> fields = {}) const;

    /** Writes an error with the step and the peer that it bears. */
    void write(LogLevel level, const absl::Status &error, std::initializer_list<LogField> fields = {}) const;

private:
    LogLevel m_least;
};

} // namespace flamingotally
