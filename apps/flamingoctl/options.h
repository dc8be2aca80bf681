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
    bool waitEverywhere = false;
    std::optional<std::uint64_t> expectedVersion;

    std::string profile;
    std::string name;
    std::optional<std::uint32_t> count;
    std::optional<std::int64_t> cpuMilli;
    std::optional<std::int64_t> memoryMb;
    std::optional<std::int64_t> accelerators;
    std::int64_t runEstimateMs = 0;
    std::string payload;
    std::string id;
    std::int64_t waitMs = 0;
    std::uint32_t task = 0;

    std::optional<std::uint32_t> share;
    std::optional<std::uint32_t> queueLimit;
    std::string team;
    std::string role = "submitter";
    std::string newKeyFile;
    std::uint64_t toVersion = 0;
    std::string subject;
    std::uint32_t maxChanges = 100;

    bool showHelp = false;
    std::string help; ///< Description of the options, for the help text.
};

/**
 * Parses the command line and reads the environment variables and the files that it names. With `--help`, no files
 * are read.
 * @return The options; an error when an option is unknown or malformed, or a file cannot be read.
 */
absl::StatusOr<CtlOptions> parseCtlOptions(int argc, const char *const *argv);

/** Returns the complete content of a file; an error when it cannot be read. */
absl::StatusOr<std::string> readFile(const std::string &path);

} // namespace flamingotally
