/** @file options.h Command line of the stand-in: it simulates workers, the log, the host list and the journal. */
#pragma once

#include "standin_base.h"

#include <absl/status/statusor.h>

namespace flamingotally::standin
{

/** A worker to simulate. */
struct WorkerOption {
    HostRow row; ///< The worker's row in the host list.
    Resources total; ///< Capacity of the worker.
};

/** Parsed command line. */
struct Options {
    StandinSettings settings;
    PlatformFaults faults;
    std::string address; ///< "IP:port" of the log, the host list, the journal and the interface that switches faults.
    std::vector<HostRow> entryHosts; ///< Entry hosts: the host list contains them, but they are not simulated.
    std::vector<WorkerOption> workers;
    bool showHelp = false; ///< Print the help text and exit.
    std::string help; ///< Help text.
};

/**
 * Parses the command line.
 * @return The options, or InvalidArgument with the reason when an option is unknown or malformed.
 */
absl::StatusOr<Options> parseOptions(int argc, const char *const *argv);

} // namespace flamingotally::standin
