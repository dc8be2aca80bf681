/** @file entry_settings_codec.h Reads and writes the settings of an entry daemon as TOML. */
#pragma once

#include "dispatch/entry_settings.h"

#include <absl/status/statusor.h>

#include <string>

namespace flamingotally
{

/** Builds the settings of an entry daemon from a TOML file and overrides of single values, and validates them. */
class EntrySettingsBuilder
{
public:
    /**
     * Reads the values of a TOML text. An error names the file, the line and the expected value.
     * @param file Path of the text's file, for error messages.
     */
    absl::Status addToml(std::string_view text, const std::string &file);

    /** Reads one value that is given as "key=value". */
    absl::Status addOverride(const std::string &assignment);

    /** Returns the settings, or an error when values contradict each other. */
    absl::StatusOr<dispatch::EntrySettings> build() const;

private:
    dispatch::EntrySettings m_settings;
};

/** Returns settings as TOML text, with a comment above each. */
std::string printEntrySettings(const dispatch::EntrySettings &settings);

} // namespace flamingotally
