#include "net/http_server.h"

#include "core/error.h"
#include "net/endpoint.h"
#include "net/http_error.h"
#include "net/http_message.h"
#include "net/http_server_connection.h"

#include <utility>

namespace flamingotally
{

namespace
{

constexpr Milliseconds acceptBackoff{100}; ///< Pause after a failed accept.

using RequestParser = http::request_parser<http::string_body>;

} // namespace

/** State that exists until the last operation on it has ended. */
struct HttpServer::State {
    State(asio::io_context &context, HttpServerSettings bounds, HttpHandler function)
        : io(context), settings(bounds), handler(std::move(function)), acceptor(context), acceptPause(context),
          drainTimer(context)
    {
    }

    asio::io_context &io;
    HttpServerSettings settings;
    HttpHandler handler;
    tcp::acceptor acceptor;
    asio::steady_timer acceptPause; ///< Delays the next accept; cancelled as soon as a connection closes.
    asio::steady_timer drainTimer;
    ConnectionTable connections;
    std::size_t pendingRequests = 0; ///< Requests to which the handler has not responded yet.
    bool isDraining = false; ///< Each connection is closed after its next response.
    std::function<void()> notifyDrained; ///< Called once, when a drain is complete.
};

namespace
{

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
    connection.phase = ConnectionPhase::Handling;
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

/** Starts the time limit for receiving a request. */
void startDeadline(const StatePtr &state, ConnectionRef ref, Connection &connection)
{
    connection.isTimedOut = false;
    connection.stream.expires_never();
    connection.deadline.expires_after(state->settings.requestTimeout);
    connection.deadline.async_wait([weak = std::weak_ptr(state), ref](const error_code &ec) {
        const auto strong = weak.lock();
        if (ec || !strong || !strong->connections.contains(ref)) {
            return;
        }
        auto &it = *strong->connections.get<std::unique_ptr<Connection>>(ref);
        const bool isDue = it.deadline.expiry() <= asio::steady_timer::clock_type::now();
        if (isDue && it.phase == ConnectionPhase::Receiving) {
            it.isTimedOut = true;
            it.stream.cancel();
        }
    });
}

/** Waits for the first byte of the next request; returns false if the connection is closed or idle for too long. */
awaitable<bool> awaitRequest(const StatePtr &state, ConnectionRef ref, Connection &connection)
{
    connection.phase = ConnectionPhase::Idle;
    if (connection.buf.size() == 0) {
        connection.stream.expires_after(state->settings.idleTimeout);
        const auto [ec, n] = co_await connection.stream.async_read_some(connection.buf.prepare(readBytes), useTuple);
        if (ec) {
            co_return false;
        }
        connection.buf.commit(n);
    }
    connection.phase = ConnectionPhase::Receiving;
    startDeadline(state, ref, connection);
    co_return true;
}

/** Reads one complete request; sends "100 Continue" before the body if the client expects it. */
awaitable<error_code> readRequest(Connection &connection, RequestParser &parser)
{
    const auto [headerError, headerBytes] =
        co_await http::async_read_header(connection.stream, connection.buf, parser, useTuple);
    if (headerError || parser.is_done()) {
        co_return headerError;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        http::response<http::empty_body> continueResponse(http::status::continue_, parser.get().version());
        const auto [ec, n] = co_await http::async_write(connection.stream, continueResponse, useTuple);
        if (ec) {
            co_return ec;
        }
    }
    const auto [ec, n] = co_await http::async_read(connection.stream, connection.buf, parser, useTuple);
    co_return ec;
}

/** Sends a response, or only its header (`headOnly`, for the method HEAD); returns whether it was sent. */
awaitable<bool>
sendResponse(const StatePtr &state, Connection &connection, http::response<http::string_body> &message, bool headOnly)
{
    connection.phase = ConnectionPhase::Sending;
    connection.stream.expires_after(state->settings.writeTimeout);
    http::response_serializer<http::string_body> serializer(message);
    if (headOnly) {
        const auto [ec, n] = co_await http::async_write_header(connection.stream, serializer, useTuple);
        co_return !ec;
    }
    const auto [ec, n] = co_await http::async_write(connection.stream, serializer, useTuple);
    co_return !ec;
}

/**
 * Serves one request.
 * @return Whether the connection stays open for another request.
 */
awaitable<bool> serveRequest(const StatePtr &state, ConnectionRef ref, Connection &connection)
{
    if (!co_await awaitRequest(state, ref, connection)) {
        co_return false;
    }
    RequestParser parser;
    parser.header_limit(static_cast<std::uint32_t>(state->settings.maxHeaderBytes));
    parser.body_limit(state->settings.maxBodyBytes);
    const error_code ec = co_await readRequest(connection, parser);
    connection.deadline.cancel();
    if (isDisconnected(ec) && !connection.isTimedOut) {
        co_return false;
    }
    const unsigned version = parser.get().version() == 10 ? 10 : 11;
    const bool headOnly = !ec && parser.get().method() == http::verb::head;
    bool keepAlive = !ec && parser.get().keep_alive();
    std::optional<HttpResponse> response;
    if (ec) {
        response = makeErrorResponse(receiveError(ec, connection.isTimedOut));
    } else if (auto request = toRequest(parser.release())) {
        response = co_await callHandler(state, ref, connection, std::move(*request));
    } else {
        response = makeErrorResponse({.detail = "The target of the request is malformed."});
    }
    if (!response || response->status == noResponseStatus) {
        co_return false;
    }
    keepAlive = keepAlive && !state->isDraining;
    auto message = toMessage(std::move(*response), version, keepAlive);
    const bool isSent = co_await sendResponse(state, connection, message, headOnly);
    const bool staysOpen = isSent && keepAlive;
    co_return staysOpen;
}

awaitable<void> serveConnection(StatePtr shared, ConnectionRef ref)
{
    const StatePtr state = std::move(shared);
    Connection &connection = *state->connections.get<std::unique_ptr<Connection>>(ref);
    while (co_await serveRequest(state, ref, connection)) { }
    co_await closeLingering(connection);
    state->connections.erase(ref);
    state->acceptPause.cancel();
    notifyIfDrained(*state);
}

void addConnection(const StatePtr &state, tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto ref = state->connections.insert(std::make_unique<Connection>(std::move(socket)));
    asio::co_spawn(state->io, serveConnection(state, ref), asio::detached);
}

/** Accepts connections until the acceptor is closed; pauses while the limit of connections is reached. */
awaitable<void> acceptConnections(StatePtr shared)
{
    const StatePtr state = std::move(shared);
    while (state->acceptor.is_open()) {
        if (state->connections.size() >= state->settings.maxConnections) {
            state->acceptPause.expires_at(asio::steady_timer::time_point::max());
            co_await state->acceptPause.async_wait(useTuple);
            continue;
        }
        auto [ec, socket] = co_await state->acceptor.async_accept(useTuple);
        if (!ec) {
            addConnection(state, std::move(socket));
            continue;
        }
        if (state->acceptor.is_open()) {
            state->acceptPause.expires_after(acceptBackoff);
            co_await state->acceptPause.async_wait(useTuple);
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
            addConnection(state, std::move(socket));
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
    : m_state(std::make_shared<State>(io, settings, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    close();
}

absl::Status HttpServer::listen(const std::string &address)
{
    const auto endpoint = parseEndpoint<tcp::endpoint>(address);
    if (!endpoint) {
        return makeError(
            absl::StatusCode::kInvalidArgument, Step::Listen, address, "not an address of the form IP:port");
    }
    auto &acceptor = m_state->acceptor;
    error_code ec;
    acceptor.open(endpoint->protocol(), ec);
    if (!ec) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(*endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return makeError(absl::StatusCode::kUnavailable, Step::Listen, address, ec.message());
    }
    asio::co_spawn(m_state->io, acceptConnections(m_state), asio::detached);
    return absl::OkStatus();
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
