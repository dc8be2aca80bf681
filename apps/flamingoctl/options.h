/** @file options.h Command line of flamingoctl. */
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

/** Form of what is printed. */
enum class OutputForm : std::uint8_t {
    Table,
    Json,
    End,
};

constexpr EnumTable<OutputForm> outputFormTable{{
    {OutputForm::Table, "table"},
    {OutputForm::Json, "json"},
}};
static_assert(isComplete(outputFormTable));

/** Options of all commands. Each command reads those that concern it. */
struct CtlOptions {
    std::vector<std::string> words; ///< The command and its arguments.
    std::vector<std::string> servers; ///< "IP:port" each.
    std::string key; ///< Empty for none.
    OutputForm output = OutputForm::Table;
    Milliseconds timeout{30'000};
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
    std::uint32_t most = 100;

    bool showHelp = false;
    std::string help; ///< Options, for the help text.
};

/** Reads the command line, the environment and the files that it names. */
absl::StatusOr<CtlOptions> parseCtlOptions(int argc, const char *const *argv);

/** Reads a file whole. */
absl::StatusOr<std::string> readFile(const std::string &path);

} // namespace flamingotally
