/** @file log_type.h Levels of the log that people read. */
#pragma once

#include <cstdint>

namespace flamingotally
{

/** How much a line of the log matters. */
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
    End,
};

} // namespace flamingotally
