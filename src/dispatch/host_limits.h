/**
 * @file host_limits.h What the memory and the descriptors of a host allow an entry daemon to hold. Load: hosts of 160
 * MB and 4,100 descriptors, callers that open any number of connections and send any amount.
 */
#pragma once

#include "dispatch/entry_settings.h"

#include <cstddef>
#include <optional>

namespace flamingotally::dispatch
{

/** Limits of a daemon. */
struct HostLimits {
    std::optional<std::size_t> budgetBytes{}; ///< For requests and responses; unset if the memory is unknown.
    std::size_t callerConnections = 4'096;
    std::size_t peerConnections = 512; ///< From other daemons; one of them opens 256 at most.
    std::size_t probeConnections = 64; ///< From the load balancer.
    std::size_t metricsConnections = 32;
    std::size_t jobBytes = 0; ///< No job is accepted that would make Jobs::bytes larger, by this daemon's view.
    /** To workers, the store, the policy service and other daemons; a cell has hundreds of workers with two each. */
    std::size_t ownConnections = 3'000;
};

/** Returns the memory that a daemon may use, in bytes; an assumed amount if the settings do not say. */
std::size_t memoryBytes(const EntrySettings &settings);

/** Derives the limits from the settings. */
HostLimits hostLimits(const EntrySettings &settings);

} // namespace flamingotally::dispatch
