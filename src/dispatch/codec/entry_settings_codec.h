/** @file entry_settings_codec.h Reads and writes the settings of an entry daemon as TOML. */
#pragma once

#include "dispatch/entry_settings.h"

#include <absl/status/statusor.h>

#include <string>

namespace flamingotally
{

/** Makes settings from a TOML file and overrides, and checks the whole. */
class EntrySettingsBuilder
{
public:
    /** Takes the values of a TOML file; an error names file, line and what was expected. */
    absl::Status addFile(const std::string &path);

    /** Takes one value as "key=value". */
    absl::Status addOverride(const std::string &assignment);

    /** Checks what no single field can tell and hands out the settings. */
    absl::StatusOr<dispatch::EntrySettings> build() const;

private:
    dispatch::EntrySettings m_settings;
};

/** Writes settings as TOML with a comment over each. */
std::string printEntrySettings(const dispatch::EntrySettings &settings);

} // namespace flamingotally
