/** @file options.h Command line of the entry daemon. */
#pragma once

#include "settings_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace flamingotally
{

constexpr std::string_view programVersion = "0.1.0";

/** What the process is to do. */
enum class Mode : std::uint8_t {
    Run,
    Help,
    Version,
    CheckConfig,
    PrintConfig,
    End,
};

/** Command line, read and checked. */
struct Options {
    Mode mode = Mode::Run;
    Settings settings; ///< Void for `Help` and `Version`.
    std::string help;
};

/** Reads the command line and the settings that it names. */
absl::StatusOr<Options> parseOptions(int argc, const char *const *argv);

} // namespace flamingotally
