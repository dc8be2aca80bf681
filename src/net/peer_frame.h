/** @file peer_frame.h Length-prefixed messages on a stream between daemons. */
#pragma once

#include "net/coroutine.h"

#include <optional>
#include <string>

namespace flamingotally
{

/**
 * Reads a message and the length prefix that precedes it.
 * @param maxBytes Size limit; a longer message is refused after its length prefix was read.
 * @return The message, or nullopt if the connection was closed or timed out, or if the message is too long.
 */
awaitable<std::optional<std::string>> readFrame(beast::tcp_stream &stream, std::size_t maxBytes);

/** Writes a length prefix and a message; returns whether both were sent. */
awaitable<bool> writeFrame(beast::tcp_stream &stream, std::string message);

} // namespace flamingotally
