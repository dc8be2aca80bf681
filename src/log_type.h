/** @file log_type.h Severity levels of the lines that a daemon logs. */
#pragma once

#include <cstdint>

namespace flamingotally
{

/** Severity of a log line, in ascending order. */
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
    End,
};

} // namespace flamingotally
