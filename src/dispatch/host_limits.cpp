#include "dispatch/host_limits.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

constexpr std::size_t bytesPerMb = std::size_t{1024} * 1024;
constexpr std::size_t defaultMemoryMb = 256; ///< Of a daemon whose settings do not say how much it may use.
constexpr std::size_t jobMemoryPart = 4; ///< Divisor: part of the memory for the rows of jobs.

/**
 * Part of the memory for requests and responses. Of 160 MB that is 64 MB: 4,096 callers that send 4 KB at the same time
 * take 12 KB each. The tables of a daemon take 20 MB, and an allocator may hold half as much again as is in use.
 */
constexpr std::size_t budgetFifths = 2;
/** One request of the largest size is served in any case; its body may take twice its size while it grows. */
constexpr std::size_t minBudgetBytes = bytesPerMb;

/** Sockets, timers and coroutines of a connection without a request. */
constexpr std::size_t connectionBytes = 4 * 1024;
constexpr std::size_t connectionMemoryPart = 8; ///< Divisor: part of the memory for connections.

/**
 * Descriptors that are not for servers: two connections to each of 350 workers, 256 to the store, 256 to the policy
 * service and other daemons, and 68 for files, timers and listening sockets.
 */
constexpr std::size_t reservedDescriptors = 2 * 350 + 256 + 256 + 68;
constexpr std::size_t fileDescriptors = 68; ///< Those of them that are not connections.

constexpr std::size_t peerPart = 8; ///< Divisor: part of the descriptors for servers. 40 daemons keep 8 idle each.
constexpr std::size_t probePart = 64; ///< The same for the load balancer.
constexpr std::size_t metricsPart = 128; ///< The same for metrics.
constexpr std::size_t minConnections = 4; ///< Of each server, on the smallest host.

std::size_t bounded(std::size_t descriptors, std::size_t most)
{
    return std::clamp(descriptors, minConnections, most);
}

void applyDescriptors(HostLimits &limits, std::size_t descriptors)
{
    const auto reserved = std::min(reservedDescriptors, descriptors / 2);
    const auto forServers = descriptors - reserved;
    limits.peerConnections = bounded(forServers / peerPart, limits.peerConnections);
    limits.probeConnections = bounded(forServers / probePart, limits.probeConnections);
    limits.metricsConnections = bounded(forServers / metricsPart, limits.metricsConnections);
    const auto others = limits.peerConnections + limits.probeConnections + limits.metricsConnections;
    limits.callerConnections = bounded(forServers > others ? forServers - others : 0, limits.callerConnections);
    const auto servers = limits.callerConnections + others + fileDescriptors;
    limits.ownConnections = bounded(descriptors > servers ? descriptors - servers : 0, limits.ownConnections);
}

void applyMemory(HostLimits &limits, std::size_t bytes)
{
    constexpr std::size_t fifth = 5;
    limits.budgetBytes = std::max(bytes / fifth * budgetFifths, minBudgetBytes);
    limits.callerConnections = bounded(bytes / connectionMemoryPart / connectionBytes, limits.callerConnections);
}

} // namespace

std::size_t memoryBytes(const EntrySettings &settings)
{
    return bytesPerMb * (settings.memoryMb > 0 ? settings.memoryMb : defaultMemoryMb);
}

HostLimits hostLimits(const EntrySettings &settings)
{
    HostLimits limits;
    limits.jobBytes = memoryBytes(settings) / jobMemoryPart;
    if (settings.memoryMb > 0) {
        applyMemory(limits, settings.memoryMb * bytesPerMb);
    }
    if (settings.maxDescriptors > 0) {
        applyDescriptors(limits, settings.maxDescriptors);
    }
    return limits;
}

} // namespace flamingotally::dispatch
