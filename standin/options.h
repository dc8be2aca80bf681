/** @file options.h Command line of the stand-in. */
#pragma once

#include "standin_base.h"

#include <absl/status/statusor.h>

namespace flamingotally::standin
{

/** A worker to simulate: its row of the host list and its capacity. */
struct WorkerOption {
    HostRow row;
    Resources total;
};

/** Parsed command line. */
struct Options {
    StandinSettings settings;
    PlatformFaults faults;
    std::string address; ///< "IP:port" of the log, the host list, the journal and the fault switches.
    std::vector<HostRow> entryHosts;
    std::vector<WorkerOption> workers;
    bool showHelp = false; ///< Print the help text and exit.
    std::string help; ///< Help text.
};

/**
 * Parses the command line.
 * @return The options, or InvalidArgument with the reason when an option is malformed.
 */
absl::StatusOr<Options> parseOptions(int argc, const char *const *argv);

} // namespace flamingotally::standin
