/** @file start_table.h Names of the events and failures at the start of a daemon, and its exit statuses. */
#pragma once

#include "core/enum_table.h"
#include "log_type.h"
#include "start_type.h"

namespace flamingotally
{

/** Name and level of an event. */
struct StartEventRow {
    StartEvent value;
    std::string_view name; ///< Value of `event` in the log.
    LogLevel level;
};

constexpr EnumTable<StartEvent, StartEventRow> startEventTable{{
    {StartEvent::Waits, "start_waits", LogLevel::Warning},
    {StartEvent::Resumed, "start_resumed", LogLevel::Info},
    {StartEvent::Failed, "start_failed", LogLevel::Error},
}};
static_assert(isComplete(startEventTable));

/** Properties of a failure. */
struct StartFailureRow {
    StartFailure value;
    std::string_view name; ///< Value of `failure` in the log.
    int exitStatus; ///< By the convention of sysexits.h.
    std::string_view text; ///< Help sentence.
};

constexpr EnumTable<StartFailure, StartFailureRow> startFailureTable{{
    {StartFailure::Usage, "usage", 64, "The command line is invalid."},
    {StartFailure::SettingsUnreadable, "settings_unreadable", 66, "The settings file cannot be read."},
    {StartFailure::AddressTaken, "address_taken", 69, "Another process has an address for longer than the time limit."},
    {StartFailure::UnexpectedError, "unexpected_error", 70, "An unexpected error occurred."},
    {StartFailure::AddressUnavailable, "address_unavailable", 71, "The system refuses an address, or a resource."},
    {StartFailure::SettingsRefused, "settings_refused", 78, "A setting is unknown, missing or not allowed."},
}};
static_assert(isComplete(startFailureTable));

/** Properties of a state of the settings file. */
struct SettingsFileStateRow {
    SettingsFileState value;
    std::string_view name;
    std::string_view text; ///< Cause in the log; empty if the error of the system is the cause, or if there is none.
};

constexpr EnumTable<SettingsFileState, SettingsFileStateRow> settingsFileStateTable{{
    {SettingsFileState::Whole, "whole", ""},
    {SettingsFileState::Unreadable, "unreadable", ""},
    {SettingsFileState::Empty, "empty", "the file is empty"},
    {SettingsFileState::NotEnded, "not_ended", "the last line has no end"},
    {SettingsFileState::Malformed, "malformed", "the file is not TOML"},
}};
static_assert(isComplete(settingsFileStateTable));

} // namespace flamingotally
