#include "options.h"

#include "core/error.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <sstream>

namespace flamingotally::standin
{

namespace po = boost::program_options;

namespace
{

using Texts = std::vector<std::string>;

absl::Status optionError(std::string_view text)
{
    return makeError(absl::StatusCode::kInvalidArgument, Step::ReadSettings, "", text);
}

/** Groups, placement and ports of the workers. describe() sets the defaults of `firstPort` and `rackSize`. */
struct Layout {
    Texts groups; ///< Groups of workers as "count:cpuMilli:memoryMb:accelerators".
    Texts domains; ///< Failure domains, in which the workers are placed in turn.
    std::uint16_t firstPort = 0; ///< Port of the first worker; the ports of the others follow.
    std::size_t rackSize = 1; ///< Workers in a rack.
};

/** Parses a group of workers "count:cpuMilli:memoryMb:accelerators" and adds its workers. */
absl::Status addGroup(Options &options, const Layout &layout, const std::string &group)
{
    const Texts parts = absl::StrSplit(group, ':');
    std::int64_t count = 0;
    Resources total;
    const bool isValid = parts.size() == 4 && absl::SimpleAtoi(parts[0], &count)
        && absl::SimpleAtoi(parts[1], &total.cpuMilli) && absl::SimpleAtoi(parts[2], &total.memoryMb)
        && absl::SimpleAtoi(parts[3], &total.accelerators) && total.isNonNegative();
    if (!isValid) {
        return optionError(fmt::format("--workers {}: expected count:cpuMilli:memoryMb:accelerators", group));
    }
    for (std::int64_t n = 0; n < count; ++n) {
        const auto index = options.workers.size();
        const auto &domain = layout.domains[index % layout.domains.size()];
        const auto rack = index / layout.domains.size() / layout.rackSize;
        HostRow row;
        row.name = fmt::format("worker-{}", index + 1);
        row.address = fmt::format("127.0.0.1:{}", layout.firstPort + index);
        row.domain = domain;
        row.rack = fmt::format("{}-rack-{}", domain, rack + 1);
        options.workers.push_back({row, total});
    }
    return absl::OkStatus();
}

/** Parses an entry host "name,IP:port,domain" and adds it. */
absl::Status addEntryHost(Options &options, const std::string &text)
{
    const Texts parts = absl::StrSplit(text, ',');
    if (parts.size() != 3) {
        return optionError(fmt::format("--entry-host {}: expected name,IP:port,domain", text));
    }
    HostRow row;
    row.name = parts[0];
    row.address = parts[1];
    row.domain = parts[2];
    row.role = HostRole::Entry;
    options.entryHosts.push_back(row);
    return absl::OkStatus();
}

/** Returns an option that is stored in a variable and defaults to its current value. */
template<typename T>
auto valueOf(T *target)
{
    return po::value<T>(target)->default_value(*target);
}

/**
 * Values of the command line that are converted before they become options. The initial values are the defaults of the
 * options, except in `layout`; see Layout.
 */
struct RawOptions {
    Layout layout;
    std::string domains = "north,south,west";
    Texts entryHosts;
    std::int64_t retentionMs = Milliseconds{StandinSettings{}.retention}.count();
    std::int64_t hostListLagMs = Milliseconds{StandinSettings{}.hostListLag}.count();
    std::int64_t usageLagMs = Milliseconds{StandinSettings{}.usageLag}.count();
    std::int64_t appendLatencyMs = Milliseconds{PlatformFaults{}.appendLatency}.count();
};

/**
 * Describes the command line. Sets the defaults that the structures do not have as initial values, and binds options to
 * variables in `options` and `raw`, which must outlive the parsing.
 */
po::options_description describe(Options &options, RawOptions &raw)
{
    raw.layout.firstPort = 7'200;
    raw.layout.rackSize = 8;
    options.address = "127.0.0.1:7070";
    po::options_description all("flamingotally-standin: a small platform on loopback: log, host list, workers");
    auto add = all.add_options();
    add("help,h", "print this text");
    add("listen", valueOf(&options.address), "IP:port of the log, the host list, the journal and the fault switches");
    add("workers",
        po::value<Texts>(&raw.layout.groups)->composing(),
        "group of workers as count:cpuMilli:memoryMb:accelerators; may be repeated");
    add("first-worker-port",
        valueOf(&raw.layout.firstPort),
        "port of the first worker; the ports of the others follow");
    add("domains", valueOf(&raw.domains), "failure domains, separated by commas, in which workers are placed in turn");
    add("rack-size", valueOf(&raw.layout.rackSize), "workers in a rack");
    add("entry-host",
        po::value<Texts>(&raw.entryHosts)->composing(),
        "entry host on the host list as name,IP:port,domain; may be repeated");
    add("append-latency-ms",
        valueOf(&raw.appendLatencyMs),
        "time from the arrival of an append until its record is stored");
    add("appends-per-second", valueOf(&options.settings.appendsPerSecond), "rate limit of the log: appends per second");
    add("retention-ms", valueOf(&raw.retentionMs), "age at which a record is dropped");
    add("max-records", valueOf(&options.settings.maxRecords), "maximum number of retained records");
    add("host-list-lag-ms", valueOf(&raw.hostListLagMs), "age of the host list that responses contain");
    add("usage-lag-ms", valueOf(&raw.usageLagMs), "time from the start of an attempt to its first usage report");
    return all;
}

/** Converts and validates the parsed values. */
absl::Status convertOptions(Options &options, RawOptions &raw)
{
    options.settings.retention = Milliseconds{raw.retentionMs};
    options.settings.hostListLag = Milliseconds{raw.hostListLagMs};
    options.settings.usageLag = Milliseconds{raw.usageLagMs};
    options.faults.appendLatency = Milliseconds{raw.appendLatencyMs};
    raw.layout.domains = absl::StrSplit(raw.domains, ',', absl::SkipEmpty());
    if (raw.layout.domains.empty() || raw.layout.rackSize == 0 || options.settings.appendsPerSecond == 0) {
        return optionError("--domains must not be empty; --rack-size and --appends-per-second must not be zero");
    }
    for (const auto &it : raw.layout.groups) {
        if (auto status = addGroup(options, raw.layout, it); !status.ok()) {
            return status;
        }
    }
    for (const auto &it : raw.entryHosts) {
        if (auto status = addEntryHost(options, it); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<Options> parseOptions(int argc, const char *const *argv)
{
    Options options;
    RawOptions raw;
    const auto description = describe(options, raw);
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error &error) {
        return optionError(error.what());
    }
    std::ostringstream help;
    help << description;
    options.help = help.str();
    options.showHelp = values.count("help") > 0;
    if (auto status = convertOptions(options, raw); !status.ok()) {
        return status;
    }
    return options;
}

} // namespace flamingotally::standin
