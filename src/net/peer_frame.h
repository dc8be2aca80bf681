/** @file peer_frame.h Length-prefixed messages on a stream between daemons. */
#pragma once

#include "net/coroutine.h"

#include <optional>
#include <string>

namespace flamingotally
{

/**
 * Reads a message with its length prefix.
 * @param maxBytes Size limit; a longer message is refused before any of it is read.
 * @return The message, or nullopt if the connection closed, timed out or the message is too long.
 */
awaitable<std::optional<std::string>> readFrame(beast::tcp_stream &stream, std::size_t maxBytes);

/** Writes a message with its length prefix; returns whether it was sent. */
awaitable<bool> writeFrame(beast::tcp_stream &stream, std::string message);

} // namespace flamingotally
