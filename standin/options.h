/** @file options.h The stand-in's command line. */
#pragma once

#include "standin_base.h"

#include <absl/status/statusor.h>

namespace flamingotally::standin
{

/** A worker to simulate. */
struct WorkerOption {
    HostRow row;
    Resources total;
};

/** What the command line says. */
struct Options {
    StandinSettings settings;
    PlatformFaults faults;
    std::string address; ///< "IP:port" of the log, the host list and the switches.
    std::vector<HostRow> entryHosts;
    std::vector<WorkerOption> workers;
    bool showHelp = false;
    std::string help;
};

/** Reads the command line. */
absl::StatusOr<Options> parseOptions(int argc, const char *const *argv);

} // namespace flamingotally::standin
