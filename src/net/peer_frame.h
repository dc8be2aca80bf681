/** @file peer_frame.h Messages of known length on a stream between daemons. */
#pragma once

#include "net/coroutine.h"

#include <optional>
#include <string>

namespace flamingotally
{

/**
 * Reads a message and the length before it.
 * @param maxBytes A longer one is refused before any of it is read.
 * @return Nothing when the peer closed, was too slow or too verbose.
 */
awaitable<std::optional<std::string>> readFrame(beast::tcp_stream &stream, std::size_t maxBytes);

/** Writes a message with its length before it; tells whether it was sent. */
awaitable<bool> writeFrame(beast::tcp_stream &stream, std::string message);

} // namespace flamingotally
