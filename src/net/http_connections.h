/**
 * @file http_connections.h The connections of an HTTP client: tables of those in use, those that are idle, and the
 * calls that wait for one. For the sources of net/ only.
 *
 * The other side may take few connections and close none of them, and a host that loses power closes none either. So a
 * client opens only as many to an address as its channel allows, and closes those that stay idle.
 */
#pragma once

#include "core/table.h"
#include "net/coroutine.h"
#include "net/http_client.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingotally
{

/** Time of the clock by which Asio's timers expire. */
using TimerTime = asio::steady_timer::time_point;

struct ConnectionTag;

/** A connection to another process, in use or idle. */
using ConnectionPtr = std::unique_ptr<beast::tcp_stream>;
/** Number of a connection, which no other connection of the client has had. */
using ConnectionNumber = std::uint64_t;
using ConnectionTable = Table<ConnectionTag, ConnectionPtr, ConnectionNumber>;
using ConnectionRef = ConnectionTable::RowRef;

/** An address and a channel: the calls of one destination share connections. */
struct Destination {
    std::string address;
    HttpChannel channel = HttpChannel::General;

    friend bool operator==(const Destination &, const Destination &) = default;

    template<typename Hash>
    friend Hash AbslHashValue(Hash state, const Destination &it)
    {
        return Hash::combine(std::move(state), it.address, it.channel);
    }
};

/** A connection that no call uses. */
struct IdleConnection {
    ConnectionRef ref;
    std::uint64_t number = 0; ///< Counts releases, so the lowest number has been idle for longest.
};

/** A connection that was assigned to a call. */
struct AssignedConnection {
    ConnectionRef ref; ///< Unset if the call has to open the connection.
};

/** A call that waits until a connection is assigned to it. */
struct WaitingCall {
    explicit WaitingCall(asio::io_context &io, TimerTime deadline) : timer(io, deadline)
    {
    }

    asio::steady_timer timer; ///< Expires at the deadline of the call; cancelled when a connection is assigned.
    std::optional<AssignedConnection> assigned;
};

/** The connections of one destination. */
struct DestinationState {
    std::size_t open = 0; ///< Number of connections in use, being opened, and idle.
    std::vector<IdleConnection> idle; ///< The latest released last.
    std::deque<std::shared_ptr<WaitingCall>> waiting; ///< First come, first served.
};

/** When a connection became idle. */
struct IdleSince {
    Destination destination;
    TimerTime at;
};

/** All connections of a client. */
struct HttpConnections {
    HttpConnections(asio::io_context &context, HttpClientSettings bounds)
        : io(context), settings(bounds), expiryTimer(context)
    {
    }

    asio::io_context &io;
    HttpClientSettings settings;
    ConnectionTable table;
    ConnectionNumber opened = 0; ///< Connections opened so far.
    absl::flat_hash_map<Destination, DestinationState> byDestination; ///< Those with connections or waiting calls.
    std::map<std::uint64_t, IdleSince> idleByAge; ///< By IdleConnection::number.
    std::uint64_t releases = 0; ///< Connections released so far.
    asio::steady_timer expiryTimer; ///< Expires when the connection that has been idle for longest is to be closed.
    bool isExpiryScheduled = false;
    bool isClosed = false; ///< No connection is opened any more.
};

/**
 * Assigns a connection to a call, which waits its turn until one is free or may be opened.
 * @param deadline The call waits no longer.
 * @return An error if no connection could be assigned, so that nothing was sent.
 */
awaitable<absl::StatusOr<AssignedConnection>>
acquireConnection(const std::shared_ptr<HttpConnections> &connections, const HttpCall &call, TimerTime deadline);

/** Adds a connection that an assigned call is going to open. */
ConnectionRef addConnection(HttpConnections &connections);

/** Passes a connection on to the next waiting call, or keeps it open for the next one, or closes it. */
void releaseConnection(const std::shared_ptr<HttpConnections> &connections,
                       const Destination &destination,
                       ConnectionRef ref);

/** Closes a connection that was assigned to a call, opened or not, so that the next waiting call may open one. */
void closeConnection(HttpConnections &connections, const Destination &destination, ConnectionRef ref);

/** Closes the idle connections of a destination. Used after a call without a response: it may be unreachable. */
void closeIdleConnections(HttpConnections &connections, const Destination &destination);

/** Closes all connections; calls in progress fail. */
void closeAllConnections(HttpConnections &connections);

/** Counts the connections and the waiting calls of each channel. */
ConnectionsByChannel countConnections(const HttpConnections &connections);

} // namespace flamingotally
