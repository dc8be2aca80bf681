/** @file main.cpp flamingoctl, the command line for callers and operators. */
#include "command_table.h"
#include "core/error.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>

#include <optional>

namespace
{

using namespace flamingotally;

void printHelp(const CtlOptions &options)
{
    fmt::print("flamingoctl: submit work to flamingotally and operate it\n\n"
               "Usage: flamingoctl COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n");
    for (const auto &row : ctlCommandTable) {
        fmt::print("  {:<28} {}\n", fmt::format("{} {}", row.name, row.arguments), row.text);
    }
    fmt::print("\n{}\nExit codes:\n", options.help);
    for (const auto &row : exitCodeTable) {
        fmt::print("  {:>2}  {}\n", static_cast<int>(row.value), row.text);
    }
    fmt::print("\nExamples:\n"
               "  flamingoctl submit --profile booking --cpu-milli 500 --memory-mb 256 --wait-ms 2000\n"
               "  flamingoctl domain out north --wait-everywhere\n"
               "  flamingoctl profile publish booking booking.toml\n");
}

/** A command and its arguments. */
struct Invocation {
    const CtlCommandRow *row = nullptr;
    Arguments arguments;
};

/** Finds the command by the first two words or, if there is no such command, by the first word. */
std::optional<Invocation> findCommand(const Arguments &words)
{
    for (const std::size_t n : {std::size_t{2}, std::size_t{1}}) {
        if (words.size() < n) {
            continue;
        }
        const auto name = absl::StrJoin(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(n), " ");
        if (const auto command = valueFromName(ctlCommandTable, name)) {
            const auto &row = rowOf(ctlCommandTable, *command);
            return Invocation{&row, Arguments(words.begin() + static_cast<std::ptrdiff_t>(n), words.end())};
        }
    }
    return std::nullopt;
}

ExitCode run(const CtlOptions &options)
{
    if (options.showHelp || options.words.empty()) {
        printHelp(options);
        return options.showHelp ? ExitCode::Ok : ExitCode::Usage;
    }
    const auto invocation = findCommand(options.words);
    if (!invocation) {
        fmt::print(stderr, "flamingoctl: unknown command '{}'; see --help\n", absl::StrJoin(options.words, " "));
        return ExitCode::Usage;
    }
    const auto &[row, arguments] = *invocation;
    const bool isOptional = row->arguments.starts_with('[');
    const bool isRepeatable = row->arguments.ends_with("...");
    const auto maxArguments = isOptional ? std::size_t{1} : row->argumentCount;
    if (arguments.size() < row->argumentCount || (arguments.size() > maxArguments && !isRepeatable)) {
        fmt::print(stderr, "flamingoctl: usage: flamingoctl {} {}\n", row->name, row->arguments);
        return ExitCode::Usage;
    }
    Session session(options);
    return row->run(session, arguments);
}

} // namespace

int main(int argc, char **argv)
{
    const auto options = parseCtlOptions(argc, argv);
    if (!options.ok()) {
        fmt::print(stderr, "flamingoctl: {}\n", messageOf(options.status()));
        return static_cast<int>(ExitCode::Usage);
    }
    return static_cast<int>(run(*options));
}
