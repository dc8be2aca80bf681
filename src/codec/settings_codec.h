/** @file settings_codec.h Reads and writes settings as TOML. */
#pragma once

#include "settings_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace flamingotally
{

/** Makes settings from a TOML text and overrides, and checks the whole. */
class SettingsBuilder
{
public:
    /**
     * Takes the values of a TOML text.
     * @param text The text.
     * @param file Name of its file, for messages.
     * @return An error with file, line and expectation when the text is malformed or has an unknown key or bad value.
     */
    absl::Status addToml(std::string_view text, const std::string &file);

    /** Takes the values of a TOML file. */
    absl::Status addFile(const std::string &path);

    /**
     * Takes one value from the command line.
     * @param assignment As "key=value"; the value is a bare text or number.
     */
    absl::Status addOverride(const std::string &assignment);

    /** Checks what no single field can tell and hands out the settings. */
    absl::StatusOr<Settings> build() const;

private:
    Settings m_settings;
};

/** Writes settings as TOML with a comment of text, unit and bounds over each. Secrets are left out. */
std::string printSettings(const Settings &settings);

} // namespace flamingotally
