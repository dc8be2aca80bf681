/** @file options.h Command-line options of the entry daemon. */
#pragma once

#include "settings_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace flamingotally
{

constexpr std::string_view programVersion = "0.1.0";

/** Action that the command line selects. */
enum class Mode : std::uint8_t {
    Run,
    Help,
    Version,
    CheckConfig, ///< Report that the settings are valid and exit; parseOptions() has validated them.
    PrintConfig, ///< Print the settings and exit.
    End, ///< End marker, not a mode.
};

/** Parsed and validated command line. */
struct Options {
    Mode mode = Mode::Run;
    Settings settings; ///< Settings with the overrides applied; default values for `Help` and `Version`.
    std::string help; ///< Help text.
};

/**
 * Parses the command line, reads the settings file that the command line names, and applies the overrides in the
 * command line. For `Help` and `Version`, no settings are read.
 * @return The options; an error when an option is unknown or malformed, or when the settings are invalid.
 */
absl::StatusOr<Options> parseOptions(int argc, const char *const *argv);

} // namespace flamingotally
