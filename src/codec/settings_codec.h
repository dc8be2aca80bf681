/** @file settings_codec.h Reads and writes settings as TOML. */
#pragma once

#include "settings_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace flamingotally
{

/** Builds settings from TOML and command-line overrides, and validates them. Later values replace earlier ones. */
class SettingsBuilder
{
public:
    /**
     * Adds the values of a TOML text.
     * @param text The TOML text.
     * @param file Name of the file, for error messages.
     * @return An error with file, line and expected value when the text is malformed, or has an unknown key or an
     * invalid value.
     */
    absl::Status addToml(std::string_view text, const std::string &file);

    /**
     * Sets one value from the command line.
     * @param assignment "key=value"; a text value is not quoted.
     * @return An error when the key is unknown or the value is invalid.
     */
    absl::Status addOverride(const std::string &assignment);

    /**
     * Returns the settings, or an error when a mandatory value is missing or two values contradict each other. Errors
     * in a single value are reported by the functions that add it.
     */
    absl::StatusOr<Settings> build() const;

private:
    Settings m_settings;
};

/** Formats settings as TOML. A comment above each setting states meaning, unit and bounds. Secrets are omitted. */
std::string printSettings(const Settings &settings);

} // namespace flamingotally
