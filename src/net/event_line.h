/** @file event_line.h Format of the lines of the structured log on standard output. */
#pragma once

#include "core/time_type.h"
#include "log_type.h"

#include <string>
#include <string_view>

namespace flamingotally
{

/** Content of a line, apart from its time. */
struct EventLine {
    LogLevel level = LogLevel::Info;
    std::string_view daemon; ///< Name of the daemon; empty while it is not known.
    std::string_view event; ///< Name of the event.
    std::string_view fields; ///< Further key=value pairs, separated by blanks; empty for none.
};

/** Formats a line that ends with a newline. */
std::string formatEventLine(WallTime at, const EventLine &line);

/**
 * Formats a value of a key=value pair. One with blanks, quotes, backslashes, equals signs or control characters is
 * quoted and escaped, so that no value can break the line.
 */
std::string escapedValue(std::string_view value);

} // namespace flamingotally
