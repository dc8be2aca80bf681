/** @file http_server_connection.h A connection of a client to the HTTP server. */
#pragma once

#include "core/table.h"
#include "net/coroutine.h"
#include "net/http_error.h"
#include "net/http_message.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace flamingotally
{

constexpr std::size_t readBytes = 4 * 1024; ///< Size of one read from a client.

/** Phase of a connection. */
enum class ConnectionPhase : std::uint8_t {
    Idle, ///< No byte of the next request has arrived.
    Receiving,
    Handling, ///< The handler has received the request and has not responded yet.
    Sending,
};

/** A connection of a client. */
struct Connection {
    explicit Connection(tcp::socket socket)
        : stream(std::move(socket)), responseReady(stream.get_executor(), asio::steady_timer::time_point::max()),
          deadline(stream.get_executor())
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buf;
    asio::steady_timer responseReady; ///< Never expires; cancelled when the handler has set the response.
    asio::steady_timer deadline; ///< For receiving a request. The stream's own time-out would close the connection.
    bool isTimedOut = false; ///< The request was not complete at the deadline.
    std::optional<HttpResponse> response; ///< Response to the current request, once the handler has set it.
    std::uint64_t requestNumber = 0; ///< Changes with each request, so that late responses to earlier ones are ignored.
    ConnectionPhase phase = ConnectionPhase::Idle;
};

struct ConnectionTag;
using ConnectionTable = Table<ConnectionTag, std::unique_ptr<Connection>>;
using ConnectionRef = ConnectionTable::RowRef;

/** Makes the error for a request that could not be read completely. */
HttpError receiveError(const error_code &ec, bool isTimedOut);

/** Returns whether the error means that the client has disconnected or the server was closed. */
bool isDisconnected(const error_code &ec);

/**
 * Closes a connection after reading and discarding the rest of its data. Closing with unread data would make the kernel
 * reset the connection, and the client could not read the last response.
 */
awaitable<void> closeLingering(Connection &connection);

} // namespace flamingotally
