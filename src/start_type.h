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

/** What a try to read the settings file has found. */
enum class SettingsFileState : std::uint8_t {
    Whole,
    Unreadable, ///< Not there, or not readable; another process may be about to place it.
    Empty, ///< Without a character that is not blank.
    NotEnded, ///< The last line has no end, so that its value may be cut off.
    Malformed, ///< Not TOML.
    End,
};

} // namespace flamingotally
