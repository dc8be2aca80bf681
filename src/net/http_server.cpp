#include "net/http_server.h"

#include "net/endpoint.h"
#include "net/http_error.h"
#include "net/http_message.h"
#include "net/http_receive.h"
#include "net/http_server_state.h"
#include "net/listen_socket.h"
#include "net/start_log.h"

#include <utility>

namespace flamingotally
{

namespace
{

/** Pause after a failed accept, and before another look for a connection that may be closed. */
constexpr Milliseconds acceptBackoff{100};

using State = HttpServer::State;
using StatePtr = std::shared_ptr<State>;

void notifyIfDrained(State &state)
{
    if (state.notifyDrained && !state.acceptor.is_open() && state.connections.size() == 0) {
        const auto callback = std::exchange(state.notifyDrained, nullptr);
        callback();
    }
}

/** Makes the responder of one request. Calling the responder does nothing if the request is no longer pending. */
HttpResponder makeResponder(const StatePtr &state, ConnectionRef ref, std::uint64_t number)
{
    return [weak = std::weak_ptr(state), ref, number](HttpResponse response) {
        const auto strong = weak.lock();
        if (!strong || !strong->connections.contains(ref)) {
            return;
        }
        auto &connection = *strong->connections.get<std::unique_ptr<Connection>>(ref);
        if (connection.requestNumber != number || connection.response) {
            return;
        }
        connection.response = std::move(response);
        connection.responseReady.cancel();
    };
}

/** Calls the handler with a request and waits for the response; nullopt if the server is closed first. */
awaitable<std::optional<HttpResponse>>
callHandler(const StatePtr &state, ConnectionRef ref, Connection &connection, HttpRequest request)
{
    connection.response.reset();
    const auto number = ++connection.requestNumber;
    ++state->pendingRequests;
    state->handler(std::move(request), makeResponder(state, ref, number));
    if (!connection.response) {
        co_await connection.responseReady.async_wait(useTuple);
    }
    --state->pendingRequests;
    ++connection.requestNumber;
    co_return std::exchange(connection.response, std::nullopt);
}

/** Starts the time limit for awaiting or receiving a request. */
void startDeadline(const StatePtr &state, ConnectionRef ref, Connection &connection, Milliseconds limit)
{
    connection.isTimedOut = false;
    connection.stream.expires_never();
    connection.deadline.expires_after(limit);
    connection.deadline.async_wait([weak = std::weak_ptr(state), ref](const error_code &ec) {
        const auto strong = weak.lock();
        if (ec || !strong || !strong->connections.contains(ref)) {
            return;
        }
        auto &it = *strong->connections.get<std::unique_ptr<Connection>>(ref);
        const bool isDue = it.deadline.expiry() <= asio::steady_timer::clock_type::now();
        if (isDue && (it.phase == ConnectionPhase::Idle || it.phase == ConnectionPhase::Receiving)) {
            it.isTimedOut = true;
            it.stream.cancel();
        }
    });
}

/**
 * Waits for the first byte of the next request, without a buffer; returns false if the connection is closed or idle for
 * too long.
 */
awaitable<bool> awaitRequest(const StatePtr &state, ConnectionRef ref, Connection &connection)
{
    setPhase(*state, ref, ConnectionPhase::Idle);
    connection.buf.shrink_to_fit();
    state->budget->recharge(connection.charge, connection.buf.capacity());
    if (connection.buf.size() == 0) {
        startDeadline(state, ref, connection, state->settings.idleTimeout);
        const auto [ec] = co_await connection.stream.socket().async_wait(tcp::socket::wait_read, useTuple);
        if (ec || connection.isTimedOut || connection.closedFor) {
            co_return false;
        }
    }
    setPhase(*state, ref, ConnectionPhase::Receiving);
    startDeadline(state, ref, connection, state->settings.requestTimeout);
    co_return true;
}

/** Sends a response, or only its header (`headOnly`, for the method HEAD); returns whether it was sent. */
awaitable<bool> sendResponse(const StatePtr &state,
                             ConnectionRef ref,
                             Connection &connection,
                             http::response<http::string_body> &message,
                             bool headOnly)
{
    setPhase(*state, ref, ConnectionPhase::Sending);
    state->budget->recharge(connection.charge, message.body().capacity());
    connection.stream.expires_after(state->settings.writeTimeout);
    http::response_serializer<http::string_body> serializer(message);
    error_code error;
    if (headOnly) {
        const auto [ec, n] = co_await http::async_write_header(connection.stream, serializer, useTuple);
        error = ec;
    } else {
        const auto [ec, n] = co_await http::async_write(connection.stream, serializer, useTuple);
        error = ec;
    }
    if (error == beast::error::timeout) {
        ++state->budget->count(HttpLimit::WriteTime).closed;
    }
    co_return !error && !connection.closedFor;
}

/** Counts a request that could not be received because of a limit of its own. */
void countRefusal(State &state, const ReceiveResult &result, bool isTimedOut)
{
    if (result.limit) {
        ++state.budget->count(*result.limit).refused;
    } else if (isTimedOut) {
        ++state.budget->count(HttpLimit::RequestTime).refused;
    }
}

/** Passes a complete request to the handler; the charge covers it until the response is sent. */
awaitable<std::optional<HttpResponse>>
handleRequest(const StatePtr &state, ConnectionRef ref, Connection &connection, RequestParser &parser)
{
    setPhase(*state, ref, ConnectionPhase::Handling);
    connection.buf.shrink_to_fit();
    state->budget->recharge(connection.charge, connection.buf.capacity() + requestBytes(parser));
    auto request = toRequest(parser.release());
    if (!request) {
        co_return makeErrorResponse({.detail = "The target of the request is malformed."});
    }
    co_return co_await callHandler(state, ref, connection, std::move(*request));
}

/**
 * Serves one request.
 * @return Whether the connection stays open for another request.
 */
awaitable<bool> serveRequest(const StatePtr &state, ConnectionRef ref, Connection &connection)
{
    if (connection.closedFor || !co_await awaitRequest(state, ref, connection)) {
        co_return false;
    }
    RequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(state->settings.maxHeaderBytes));
    parser.body_limit(state->settings.maxBodyBytes);
    const auto result = co_await receiveRequest(connection, parser, state->settings, *state->budget);
    connection.deadline.cancel();
    if (connection.closedFor || (isDisconnected(result.ec) && !connection.isTimedOut)) {
        co_return false;
    }
    const bool isComplete = !result.ec;
    const unsigned version = parser.get().version() == 10 ? 10 : 11;
    const bool headOnly = isComplete && parser.get().method() == http::verb::head;
    bool keepAlive = isComplete && parser.get().keep_alive();
    std::optional<HttpResponse> response;
    if (isComplete) {
        response = co_await handleRequest(state, ref, connection, parser);
    } else {
        countRefusal(*state, result, connection.isTimedOut);
        response = makeErrorResponse(receiveError(result, connection.isTimedOut));
    }
    if (!response || response->status == noResponseStatus) {
        co_return false;
    }
    keepAlive = keepAlive && !state->isDraining;
    auto message = toMessage(std::move(*response), version, keepAlive);
    const bool isSent = co_await sendResponse(state, ref, connection, message, headOnly);
    const bool staysOpen = isSent && keepAlive;
    co_return staysOpen;
}

awaitable<void> serveConnection(StatePtr shared, ConnectionRef ref)
{
    const StatePtr state = std::move(shared);
    Connection &connection = *state->connections.get<std::unique_ptr<Connection>>(ref);
    try {
        while (co_await serveRequest(state, ref, connection)) { }
    } catch (...) { // an unexpected error costs this connection, but not what it holds
        connection.stream.close();
        removeConnection(*state, ref);
        throw;
    }
    if (connection.closedFor) {
        closeRefused(connection);
    } else {
        setPhase(*state, ref, ConnectionPhase::Closing);
        state->budget->recharge(connection.charge, 0);
        co_await closeLingering(connection);
    }
    removeConnection(*state, ref);
    state->acceptPause.cancel();
    notifyIfDrained(*state);
}

void serveNewConnection(const StatePtr &state, tcp::socket socket)
{
    const auto ref = addConnection(*state, std::move(socket));
    asio::co_spawn(state->io, serveConnection(state, ref), asio::detached);
}

/** Waits until a connection closes, at most for acceptBackoff. */
awaitable<void> pauseAccepting(State &state)
{
    state.acceptPause.expires_after(acceptBackoff);
    co_await state.acceptPause.async_wait(useTuple);
}

/** Closes a connection to make room for another one, if the settings say so. */
void makeRoom(State &state)
{
    if (state.settings.makesRoom) {
        closeForAnother(state);
    }
}

/**
 * Accepts connections until the acceptor is closed. While the limit of connections is reached, closes one for each that
 * waits in the kernel's queue, or pauses if none may be closed.
 */
awaitable<void> acceptConnections(StatePtr shared)
{
    const StatePtr state = std::move(shared);
    while (state->acceptor.is_open()) {
        if (state->connections.size() >= state->settings.maxConnections) {
            const auto [ec] = co_await state->acceptor.async_wait(tcp::acceptor::wait_read, useTuple);
            if (!state->acceptor.is_open()) {
                break; // closed by a drain, for which no connection has to make room
            }
            if (ec || state->connections.size() >= state->settings.maxConnections) {
                makeRoom(*state);
                co_await pauseAccepting(*state);
            }
            continue;
        }
        auto [ec, socket] = co_await state->acceptor.async_accept(useTuple);
        if (!ec) {
            serveNewConnection(state, std::move(socket));
            continue;
        }
        if (ec == asio::error::no_descriptors) {
            makeRoom(*state);
        }
        if (state->acceptor.is_open()) {
            co_await pauseAccepting(*state);
        }
    }
}

/** Accepts the connections that wait in the kernel's queue, as closing the acceptor would reset them. */
void acceptQueued(const StatePtr &state)
{
    error_code ec;
    state->acceptor.non_blocking(true, ec);
    while (!ec) {
        tcp::socket socket(state->io);
        state->acceptor.accept(socket, ec);
        if (!ec) {
            serveNewConnection(state, std::move(socket));
        }
    }
}

/** Cancels the reads of connections on which no byte of a request has arrived; those connections then close. */
void closeIdleConnections(State &state)
{
    state.connections.forEach([&state](ConnectionRef ref) {
        auto &connection = *state.connections.get<std::unique_ptr<Connection>>(ref);
        error_code ec;
        const bool hasBytes = connection.stream.socket().available(ec) > 0;
        if (connection.phase == ConnectionPhase::Idle && !hasBytes) {
            connection.stream.cancel();
        }
    });
}

/** Waits for the grace time, then stops accepting connections and closes the idle ones. */
awaitable<void> drainServer(StatePtr shared)
{
    const StatePtr state = std::move(shared);
    state->drainTimer.expires_after(state->settings.drainGraceTime);
    co_await state->drainTimer.async_wait(useTuple);
    if (state->acceptor.is_open()) {
        acceptQueued(state);
        error_code ignored;
        state->acceptor.close(ignored);
        state->acceptPause.cancel();
    }
    closeIdleConnections(*state);
    notifyIfDrained(*state);
}

} // namespace

HttpServer::HttpServer(asio::io_context &io, HttpServerSettings settings, HttpHandler handler)
    : m_state(std::make_shared<State>(io, std::move(settings), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    close();
}

absl::Status HttpServer::bind(const std::string &address)
{
    const auto endpoint = parseEndpoint<tcp::endpoint>(address);
    if (!endpoint) {
        return addressFormError(address);
    }
    if (const auto ec = listenOn(m_state->acceptor, *endpoint)) {
        return listenError(address, ec);
    }
    return absl::OkStatus();
}

void HttpServer::accept()
{
    asio::co_spawn(m_state->io, acceptConnections(m_state), asio::detached);
}

absl::Status HttpServer::listen(const std::string &address)
{
    auto status = bind(address);
    if (status.ok()) {
        accept();
    }
    return status;
}

std::string HttpServer::address() const
{
    error_code ignored;
    return endpointText(m_state->acceptor.local_endpoint(ignored));
}

void HttpServer::drain(std::function<void()> notifyDrained)
{
    m_state->isDraining = true;
    m_state->notifyDrained = std::move(notifyDrained);
    asio::co_spawn(m_state->io, drainServer(m_state), asio::detached);
}

void HttpServer::close()
{
    error_code ignored;
    m_state->isDraining = true;
    m_state->acceptor.close(ignored);
    m_state->acceptPause.cancel();
    m_state->drainTimer.cancel();
    m_state->connections.forEach([this](ConnectionRef ref) {
        auto &connection = *m_state->connections.get<std::unique_ptr<Connection>>(ref);
        connection.responseReady.cancel();
        connection.stream.close();
    });
}

std::size_t HttpServer::connectionCount() const
{
    return m_state->connections.size();
}

std::size_t HttpServer::pendingRequestCount() const
{
    return m_state->pendingRequests;
}

} // namespace flamingotally
