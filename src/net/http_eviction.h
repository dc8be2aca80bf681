/**
 * @file http_eviction.h Which connection of an HTTP server is closed when the process holds too much for its callers.
 * Load: callers that begin requests and do not complete them, read their responses slowly, or only keep connections.
 */
#pragma once

#include "core/enum_table.h"
#include "core/time_type.h"

#include <array>
#include <cstdint>
#include <optional>

namespace flamingotally
{

/** Phase of a connection. */
enum class ConnectionPhase : std::uint8_t {
    Idle, ///< No byte of the next request has arrived.
    Receiving,
    Handling, ///< The handler has received the request and has not responded yet.
    Sending,
    Closing, ///< The last response was sent; the rest of the data is discarded.
    End,
};

/** The connection that has been in a phase longest. */
struct PhaseStart {
    std::uint64_t number = 0; ///< Increases with each change of a phase in the process.
    MonotonicTime at{}; ///< When the phase began.
};

/** For each phase, the connection that has been in it longest; unset if no connection is in the phase. */
using OldestByPhase = std::array<std::optional<PhaseStart>, enumSize<ConnectionPhase>>;

/**
 * Requests that have been incomplete and responses that have been in transfer for less than this are not taken for
 * those of a slow caller. An ordinary request fits into a few packets, which follow each other within milliseconds.
 */
constexpr Milliseconds slowTransfer{1'000};

/** Returns, phase by phase, the older one of the connections of two servers. */
OldestByPhase olderOf(const OldestByPhase &one, const OldestByPhase &other);

/**
 * Decides which connection is closed when the memory for requests and responses is exhausted: the one whose incomplete
 * request began first, else the one whose response has been in transfer longest, if it is slow.
 * @return Phase whose oldest connection is to be closed; unset if none may be closed, as the others wait for responses
 * that they were promised.
 */
std::optional<ConnectionPhase> phaseToFreeMemory(const OldestByPhase &oldest, MonotonicTime now);

/**
 * Decides which connection makes room for a new one: the one whose request has been incomplete longest, if it is slow;
 * else the one that has been idle longest; else the one whose request has been incomplete longest.
 * @return Phase whose oldest connection is to be closed; unset if none may be closed.
 */
std::optional<ConnectionPhase> phaseToFreeConnection(const OldestByPhase &oldest, MonotonicTime now);

} // namespace flamingotally
