/** @file http_server_connection.h A connection of a client to the HTTP server. */
#pragma once

#include "core/table.h"
#include "http_limit_type.h"
#include "net/coroutine.h"
#include "net/http_eviction.h"
#include "net/http_message.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace flamingotally
{

constexpr std::size_t readBytes = 4 * 1024; ///< Size of one read from a client.

/** A connection of a client. */
struct Connection {
    /** @param maxBufferBytes Maximum size of the receive buffer. */
    Connection(tcp::socket socket, std::size_t maxBufferBytes)
        : stream(std::move(socket)), buf(maxBufferBytes),
          responseReady(stream.get_executor(), asio::steady_timer::time_point::max()), deadline(stream.get_executor())
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
    asio::steady_timer responseReady; ///< Never expires; cancelled when the handler has set the response.
    /** For awaiting and receiving a request. The stream's own time-out would close the connection. */
    asio::steady_timer deadline;
    bool isTimedOut = false; ///< The request was not complete at the deadline, or did not begin before it.
    std::optional<HttpResponse> response; ///< Response to the current request, once the handler has set it.
    std::uint64_t requestNumber = 0; ///< Changes with each request, so that late responses to earlier ones are ignored.
    ConnectionPhase phase = ConnectionPhase::Idle;
    PhaseStart phaseStart;
    std::size_t charge = 0; ///< Bytes charged to the budget for the current request or response.
    std::optional<HttpLimit> closedFor; ///< Set when the connection is to be closed to make room.
    bool isRefused = false; ///< It is closed with an incomplete request, and gets a response that says so.
};

struct ConnectionTag;
using ConnectionTable = Table<ConnectionTag, std::unique_ptr<Connection>>;
using ConnectionRef = ConnectionTable::RowRef;

/** Returns whether the error means that the client has disconnected or the server was closed. */
bool isDisconnected(const error_code &ec);

/** Closes a connection at once. If its request was refused, sends a response before, unless the socket would block. */
void closeRefused(Connection &connection);

/**
 * Closes a connection after reading and discarding the rest of its data. Closing with unread data would make the kernel
 * reset the connection, and the client could not read the last response.
 */
awaitable<void> closeLingering(Connection &connection);

} // namespace flamingotally
