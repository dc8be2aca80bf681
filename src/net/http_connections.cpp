#include "net/http_connections.h"

#include "core/error.h"
#include "table/http_table.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace flamingotally
{

namespace
{

using ConnectionsPtr = std::shared_ptr<HttpConnections>;

TimerTime timerNow()
{
    return asio::steady_timer::clock_type::now();
}

/** Returns whether an idle connection can be reused: the other side has neither closed it nor sent anything. */
bool isUsable(beast::tcp_stream &stream)
{
    auto &socket = stream.socket();
    error_code ec;
    socket.non_blocking(true, ec);
    if (ec) {
        return false;
    }
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

std::size_t maxOpen(const Destination &destination)
{
    return rowOf(httpChannelTable, destination.channel).maxPerAddress;
}

/** Forgets a destination without connections and waiting calls, as addresses come and go. */
void forgetIfUnused(HttpConnections &connections, const Destination &destination)
{
    const auto it = connections.byDestination.find(destination);
    if (it != connections.byDestination.end() && it->second.open == 0 && it->second.waiting.empty()) {
        connections.byDestination.erase(it);
    }
}

/** Removes a usable connection from the idle ones, closing unusable ones; unset if none is usable. */
ConnectionRef takeIdle(HttpConnections &connections, DestinationState &state)
{
    while (!state.idle.empty()) {
        const auto [ref, number] = state.idle.back();
        state.idle.pop_back();
        connections.idleByAge.erase(number);
        if (isUsable(*connections.table.get<ConnectionPtr>(ref))) {
            return ref;
        }
        connections.table.erase(ref);
        --state.open;
    }
    return {};
}

/** Removes the connection with a number from the idle ones; unset if it is in use, closed or unusable. */
ConnectionRef takeIdle(HttpConnections &connections, DestinationState &state, ConnectionNumber number)
{
    const auto hasNumber = [&](const IdleConnection &it) {
        return connections.table.get<ConnectionNumber>(it.ref) == number;
    };
    const auto it = std::ranges::find_if(state.idle, hasNumber);
    if (it == state.idle.end()) {
        return {};
    }
    const auto ref = it->ref;
    connections.idleByAge.erase(it->number);
    state.idle.erase(it);
    if (isUsable(*connections.table.get<ConnectionPtr>(ref))) {
        return ref;
    }
    connections.table.erase(ref);
    --state.open;
    return {};
}

/** Assigns a connection to the call that has waited for longest. @param ref Unset if the call has to open it. */
void assignToNext(DestinationState &state, ConnectionRef ref)
{
    const auto next = state.waiting.front();
    state.waiting.pop_front();
    next->assigned = AssignedConnection{ref};
    next->timer.cancel();
}

/** Reduces the number of open connections of a destination by one, so that the next waiting call may open one. */
void freeSlot(HttpConnections &connections, const Destination &destination)
{
    auto &state = connections.byDestination[destination];
    if (state.waiting.empty() || connections.isClosed) {
        --state.open;
        forgetIfUnused(connections, destination);
    } else {
        assignToNext(state, {});
    }
}

/** Closes the connection that has been idle for longest. */
void closeOldestIdle(HttpConnections &connections)
{
    const auto oldest = connections.idleByAge.begin();
    const auto destination = oldest->second.destination;
    auto &state = connections.byDestination[destination];
    connections.table.erase(state.idle.front().ref); // the first released of a destination is also its oldest
    state.idle.erase(state.idle.begin());
    connections.idleByAge.erase(oldest);
    freeSlot(connections, destination);
}

/** Returns true if a call may open a connection; at the limit, closes the one that has been idle for longest. */
bool makeRoom(HttpConnections &connections)
{
    if (connections.table.size() < connections.settings.maxConnections) {
        return true;
    }
    if (connections.idleByAge.empty()) {
        return false;
    }
    closeOldestIdle(connections);
    return true;
}

void scheduleExpiry(const ConnectionsPtr &connections);

/** Closes the connections that have been idle for too long. */
void closeExpired(const ConnectionsPtr &connections)
{
    const auto before = timerNow() - connections->settings.idleTimeout;
    while (!connections->idleByAge.empty() && connections->idleByAge.begin()->second.at <= before) {
        closeOldestIdle(*connections);
    }
    scheduleExpiry(connections);
}

/** Starts the timer for the connection that has been idle for longest, unless it runs. */
void scheduleExpiry(const ConnectionsPtr &connections)
{
    constexpr Milliseconds shortestPause{500}; // one wake-up closes several connections
    if (connections->isExpiryScheduled || connections->idleByAge.empty()) {
        return;
    }
    connections->isExpiryScheduled = true;
    const auto dueAt = connections->idleByAge.begin()->second.at + connections->settings.idleTimeout;
    connections->expiryTimer.expires_at(std::max(dueAt, timerNow() + shortestPause));
    connections->expiryTimer.async_wait([weak = std::weak_ptr(connections)](const error_code &ec) {
        if (const auto strong = weak.lock(); strong && !ec) {
            strong->isExpiryScheduled = false;
            closeExpired(strong);
        }
    });
}

absl::Status unavailable(const HttpCall &call, std::string_view text)
{
    return makeError(absl::StatusCode::kUnavailable, call.step, call.address, text);
}

/** Returns a connection that was assigned to a call which no longer needs it. */
void giveBack(const ConnectionsPtr &connections, const Destination &destination, const AssignedConnection &assigned)
{
    if (assigned.ref.isSet()) {
        releaseConnection(connections, destination, assigned.ref);
    } else {
        freeSlot(*connections, destination);
    }
}

/** Waits until a connection is assigned to a call, at most until its deadline. */
awaitable<absl::StatusOr<AssignedConnection>>
awaitTurn(const ConnectionsPtr &connections, const HttpCall &call, TimerTime deadline)
{
    const Destination destination{call.address, call.channel};
    const auto waiting = std::make_shared<WaitingCall>(connections->io, deadline);
    connections->byDestination[destination].waiting.push_back(waiting);
    co_await waiting->timer.async_wait(useTuple);
    if (waiting->assigned && timerNow() < deadline) {
        co_return *waiting->assigned;
    }
    if (waiting->assigned) {
        giveBack(connections, destination, *waiting->assigned);
    } else {
        std::erase(connections->byDestination[destination].waiting, waiting);
        forgetIfUnused(*connections, destination);
    }
    co_return unavailable(call, "no connection became free in time");
}

} // namespace

awaitable<absl::StatusOr<AssignedConnection>>
acquireConnection(const ConnectionsPtr &connections, const HttpCall &call, TimerTime deadline)
{
    const Destination destination{call.address, call.channel};
    auto &state = connections->byDestination[destination];
    if (call.connection != 0) {
        if (const auto ref = takeIdle(*connections, state, call.connection); ref.isSet()) {
            co_return AssignedConnection{ref};
        }
        forgetIfUnused(*connections, destination);
        co_await asio::post(connections->io, asio::use_awaitable);
        co_return makeError(absl::StatusCode::kAborted, call.step, call.address, "connection closed before the call");
    }
    if (!state.waiting.empty()) {
        co_return co_await awaitTurn(connections, call, deadline);
    }
    if (const auto ref = takeIdle(*connections, state); ref.isSet()) {
        co_return AssignedConnection{ref};
    }
    if (state.open >= maxOpen(destination)) {
        co_return co_await awaitTurn(connections, call, deadline);
    }
    if (makeRoom(*connections)) {
        ++connections->byDestination[destination].open;
        co_return AssignedConnection{};
    }
    forgetIfUnused(*connections, destination);
    co_await asio::post(connections->io, asio::use_awaitable);
    co_return unavailable(call, "connection limit reached");
}

ConnectionRef addConnection(HttpConnections &connections)
{
    return connections.table.insert(std::make_unique<beast::tcp_stream>(connections.io), ++connections.opened);
}

void releaseConnection(const ConnectionsPtr &connections, const Destination &destination, ConnectionRef ref)
{
    auto &state = connections->byDestination[destination];
    connections->table.get<ConnectionPtr>(ref)->expires_never();
    if (!state.waiting.empty()) {
        assignToNext(state, ref);
    } else if (state.idle.size() < connections->settings.maxIdlePerAddress && !connections->isClosed) {
        state.idle.push_back({ref, ++connections->releases});
        connections->idleByAge.emplace(connections->releases, IdleSince{destination, timerNow()});
        scheduleExpiry(connections);
    } else {
        closeConnection(*connections, destination, ref);
    }
}

void closeConnection(HttpConnections &connections, const Destination &destination, ConnectionRef ref)
{
    connections.table.erase(ref);
    freeSlot(connections, destination);
}

void closeIdleConnections(HttpConnections &connections, const Destination &destination)
{
    auto &state = connections.byDestination[destination];
    for (const auto &[ref, number] : std::exchange(state.idle, {})) {
        connections.table.erase(ref);
        connections.idleByAge.erase(number);
        --state.open;
    }
}

void closeAllConnections(HttpConnections &connections)
{
    connections.isClosed = true;
    connections.expiryTimer.cancel();
    connections.idleByAge.clear();
    for (auto &[destination, state] : connections.byDestination) {
        for (const auto &it : std::exchange(state.idle, {})) {
            connections.table.erase(it.ref);
            --state.open;
        }
        for (const auto &it : state.waiting) {
            it->timer.cancel();
        }
    }
    connections.table.forEach([&](ConnectionRef ref) { connections.table.get<ConnectionPtr>(ref)->close(); });
}

ConnectionsByChannel countConnections(const HttpConnections &connections)
{
    ConnectionsByChannel sum{};
    for (const auto &[destination, state] : connections.byDestination) {
        auto &it = sum[static_cast<std::size_t>(destination.channel)];
        it.open += state.open;
        it.idle += state.idle.size();
        it.waitingCalls += state.waiting.size();
    }
    return sum;
}

} // namespace flamingotally
