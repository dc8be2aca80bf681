/** @file start_type.h How the start of a daemon proceeds, and why it can fail. */
#pragma once

#include <cstdint>

namespace flamingotally
{

/** Event at the start of a daemon, before it serves. */
enum class StartEvent : std::uint8_t {
    Waits, ///< A step failed and will be tried again.
    Resumed, ///< A step that was tried again has succeeded.
    Failed, ///< The start is given up, and the process ends.
    End,
};

/** Why a daemon did not start. Each has its own exit status; see table/start_table.h. */
enum class StartFailure : std::uint8_t {
    Usage,
    SettingsUnreadable,
    AddressTaken,
    UnexpectedError,
    AddressUnavailable,
    SettingsRefused,
    End,
};

} // namespace flamingotally
