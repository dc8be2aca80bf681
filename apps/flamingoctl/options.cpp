#include "options.h"

#include "core/error.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace flamingotally
{

namespace po = boost::program_options;

namespace
{

constexpr const char *keyVariable = "FLAMINGOTALLY_KEY";
constexpr const char *serverVariable = "FLAMINGOTALLY_SERVER";
constexpr const char *defaultServer = "127.0.0.1:8080";

/** Option values that finalizeOptions() converts, or for which it reads a file. */
struct RawOptions {
    std::string servers;
    std::string keyFile;
    std::string payloadFile;
    std::string output = "table";
    std::int64_t timeoutMs = 0;
};

absl::Status usageError(std::string_view message)
{
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings, "", message);
}

std::string environmentOr(const char *name, const char *fallback)
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return value ? value : fallback;
}

/** Makes an option value that is stored only when the option is given. */
template<typename T>
auto optionalValue(std::optional<T> &target)
{
    return po::value<T>()->notifier([&target](const T &value) { target = value; });
}

void addGeneralOptions(po::options_description &all, CtlOptions &options, RawOptions &raw)
{
    auto add = all.add_options();
    add("help,h", "print this help text");
    add("server",
        po::value(&raw.servers)->default_value(environmentOr(serverVariable, defaultServer)),
        "IP:port of the HTTP front end of a daemon; of several, separated by commas, the next is tried when that is "
        "safe");
    add("key-file",
        po::value(&raw.keyFile),
        "file that contains the key; default: the environment variable FLAMINGOTALLY_KEY");
    add("output,o", po::value(&raw.output)->default_value("table"), "output format: table or json");
    add("timeout-ms",
        po::value(&raw.timeoutMs)->default_value(options.timeout.count()),
        "time-out of the whole command in ms");
    add("wait-everywhere",
        po::bool_switch(&options.waitEverywhere),
        "changes: wait until no daemon acts on the previous state");
    add("expected-version",
        optionalValue(options.expectedVersion),
        "changes: version that the change is based on; default: the newest version");
}

void addJobOptions(po::options_description &all, CtlOptions &options, RawOptions &raw)
{
    auto add = all.add_options();
    add("profile", po::value(&options.profile), "submit: name of the profile");
    add("name", po::value(&options.name), "submit: name of the job, for display");
    add("count", optionalValue(options.count), "submit: number of identical tasks");
    add("cpu-milli", optionalValue(options.cpuMilli), "submit, team set: thousandths of a core");
    add("memory-mb", optionalValue(options.memoryMb), "submit, team set: memory in MB");
    add("accelerators", optionalValue(options.accelerators), "submit, team set: accelerators");
    add("run-estimate-ms", po::value(&options.runEstimateMs), "submit: declared run time of a task in ms");
    add("payload", po::value(&options.payload), "submit: text that is passed to the worker");
    add("payload-file", po::value(&raw.payloadFile), "submit: file whose content is passed to the worker");
    add("id", po::value(&options.id), "submit: id of the request, a UUID of version 7; default: a new one");
    add("wait-ms", po::value(&options.waitMs), "submit, status: longest wait for the end of the job in ms");
    add("task", po::value(&options.task), "result: ordinal of the task");
}

void addOperatorOptions(po::options_description &all, CtlOptions &options)
{
    auto add = all.add_options();
    add("share", optionalValue(options.share), "team set: weight of the team when the cell is full");
    add("queue-limit", optionalValue(options.queueLimit), "team set: largest number of waiting tasks");
    add("team", po::value(&options.team), "key grant: team of the key");
    add("role", po::value(&options.role)->default_value(options.role), "key grant: submitter or operator");
    add("new-key-file",
        po::value(&options.newKeyFile),
        "key grant: file that contains the new key; default: a key is generated");
    add("to", po::value(&options.toVersion), "profile rollback, profile diff: the earlier version");
    add("subject", po::value(&options.subject), "history: name of one team, key, profile or domain");
    add("most",
        po::value(&options.maxChanges)->default_value(options.maxChanges),
        "history: largest number of changes");
}

/** Converts the raw values, reads the files that they name, and validates the options. */
absl::Status finalizeOptions(CtlOptions &options, const RawOptions &raw)
{
    const auto output = valueFromName(outputFormatTable, raw.output);
    if (!output) {
        return usageError("--output: expected table or json");
    }
    options.output = *output;
    options.timeout = Milliseconds{raw.timeoutMs};
    options.servers = absl::StrSplit(raw.servers, ',', absl::SkipEmpty());
    options.key = environmentOr(keyVariable, "");
    if (!raw.keyFile.empty()) {
        auto key = readFile(raw.keyFile);
        if (!key.ok()) {
            return key.status();
        }
        options.key = std::string(absl::StripAsciiWhitespace(*key));
    }
    if (!raw.payloadFile.empty()) {
        auto payload = readFile(raw.payloadFile);
        if (!payload.ok()) {
            return payload.status();
        }
        options.payload = *std::move(payload);
    }
    return options.servers.empty() ? usageError("--server: expected at least one IP:port") : absl::OkStatus();
}

} // namespace

absl::StatusOr<CtlOptions> parseCtlOptions(int argc, const char *const *argv)
{
    CtlOptions options;
    RawOptions raw;
    po::options_description all("Options");
    addGeneralOptions(all, options, raw);
    addJobOptions(all, options, raw);
    addOperatorOptions(all, options);
    std::ostringstream help;
    help << all;
    options.help = help.str();
    all.add_options()("words", po::value(&options.words));
    po::positional_options_description words;
    words.add("words", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(words).run(), values);
        po::notify(values);
    } catch (const po::error &error) {
        return usageError(error.what());
    }
    options.showHelp = values.count("help") > 0;
    if (options.showHelp) {
        return options;
    }
    if (auto status = finalizeOptions(options, raw); !status.ok()) {
        return status;
    }
    return options;
}

absl::StatusOr<std::string> readFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return makeError(absl::StatusCode::kNotFound, Step::ReadSettings, "", fmt::format("cannot read {}", path));
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace flamingotally
