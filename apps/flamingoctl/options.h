/** @file options.h Command-line options of flamingoctl. */
#pragma once

#include "core/enum_table.h"
#include "core/time_type.h"
#include "resources_type.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingotally
{

/** Format in which responses are printed. */
enum class OutputFormat : std::uint8_t {
    Table,
    Json,
    End,
};

constexpr EnumTable<OutputFormat> outputFormatTable{{
    {OutputFormat::Table, "table"},
    {OutputFormat::Json, "json"},
}};
static_assert(isComplete(outputFormatTable));

/** Options of all commands. Each command uses only the options that apply to it. */
struct CtlOptions {
    std::vector<std::string> words; ///< The command and its arguments.
    std::vector<std::string> servers; ///< Addresses as "IP:port", in the order in which they are tried.
    std::string key; ///< API key; empty when no key is sent.
    OutputFormat output = OutputFormat::Table;
    Milliseconds timeout{30'000}; ///< Time-out of the whole command.
    bool waitEverywhere = false; ///< Wait until a change is in effect on all daemons.
    std::optional<std::uint64_t> expectedVersion; ///< Version that a change is based on.

    std::string profile;
    std::string name;
    std::optional<std::uint32_t> count; ///< Number of identical tasks.
    std::optional<std::int64_t> cpuMilli; ///< In thousandths of a core.
    std::optional<std::int64_t> memoryMb;
    std::optional<std::int64_t> accelerators;
    std::int64_t runEstimateMs = 0; ///< Declared run time of a task in ms.
    std::string payload;
    std::string id; ///< Id of the request; empty for a new one.
    std::int64_t waitMs = 0; ///< Longest wait for the end of the job in ms.
    std::uint32_t task = 0; ///< Ordinal of the task in the job.

    std::optional<std::uint32_t> share;
    std::optional<std::uint32_t> queueLimit;
    std::string team;
    std::string role = "submitter";
    std::string newKeyFile; ///< File that contains the key to grant; empty to generate a key.
    std::uint64_t toVersion = 0; ///< Earlier version of a profile.
    std::string subject; ///< Name of the object whose history is shown; empty for all.
    std::uint32_t maxChanges = 100; ///< Largest number of changes that the history shows.

    bool showHelp = false;
    std::string help; ///< Description of the options, for the help text.
};

/**
 * Parses the command line, and reads the environment variables and the files that the options name. With `--help`, no
 * files are read.
 * @return The options; an error when an option is unknown or malformed, or a file cannot be read.
 */
absl::StatusOr<CtlOptions> parseCtlOptions(int argc, const char *const *argv);

/** Returns the complete content of a file; an error when it cannot be read. */
absl::StatusOr<std::string> readFile(const std::string &path);

} // namespace flamingotally
