/** @file http_server_state.h State of an HTTP server, and the phases of its connections. For the sources of net/ only.
 */
#pragma once

#include "net/http_budget.h"
#include "net/http_server.h"
#include "net/http_server_connection.h"

#include <array>
#include <map>

namespace flamingotally
{

/** State that exists until the last operation on it has ended. */
struct HttpServer::State {
    State(asio::io_context &context, HttpServerSettings bounds, HttpHandler function);
    State(const State &) = delete;
    State &operator=(const State &) = delete;
    ~State();

    asio::io_context &io;
    HttpServerSettings settings;
    std::shared_ptr<HttpBudget> budget; ///< Never null.
    std::uint64_t budgetMember = 0; ///< Id of this server in the budget.
    HttpHandler handler;
    tcp::acceptor acceptor;
    asio::steady_timer acceptPause; ///< Delays the next accept; cancelled as soon as a connection closes.
    asio::steady_timer drainTimer;
    ConnectionTable connections;
    /** By ConnectionPhase: the connections in the phase, by the number of its start. */
    std::array<std::map<std::uint64_t, ConnectionRef>, enumSize<ConnectionPhase>> byPhase;
    std::size_t pendingRequests = 0; ///< Requests to which the handler has not responded yet.
    bool isDraining = false; ///< Each connection is closed after its next response.
    std::function<void()> notifyDrained; ///< Called once, when a drain is complete.
};

/** Adds a connection, which is idle. */
ConnectionRef addConnection(HttpServer::State &state, tcp::socket socket);

/** Removes a closed connection, and takes back its charge. */
void removeConnection(HttpServer::State &state, ConnectionRef ref);

/** Notes that a connection enters a phase. */
void setPhase(HttpServer::State &state, ConnectionRef ref, ConnectionPhase phase);

/** Returns the oldest connection of each phase. */
OldestByPhase oldestByPhase(const HttpServer::State &state);

/** Closes the oldest connection of a phase because of a limit. */
void closeOldest(HttpServer::State &state, ConnectionPhase phase, HttpLimit limit);

/** Closes a connection so that another one can be accepted, if one may be closed. */
void closeForAnother(HttpServer::State &state);

} // namespace flamingotally
