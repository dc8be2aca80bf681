#include "net/http_client.h"

#include "core/error.h"
#include "net/clock.h"
#include "net/endpoint.h"
#include "net/http_connections.h"
#include "net/http_message.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace flamingotally
{

namespace
{

absl::Status callError(absl::StatusCode code, const HttpCall &call, std::string_view text)
{
    return makeError(code, call.step, call.address, text);
}

/** Makes the error for a call that may have reached the other side. */
absl::Status noResponseError(const HttpCall &call, const error_code &ec)
{
    const bool isTimedOut = ec == beast::error::timeout;
    return callError(isTimedOut ? absl::StatusCode::kDeadlineExceeded : absl::StatusCode::kUnknown, call, ec.message());
}

} // namespace

/** State that exists until the last operation on it has ended. */
struct HttpClient::State {
    State(asio::io_context &context, HttpClientSettings settings)
        : io(context), connections(std::make_shared<HttpConnections>(context, settings))
    {
    }

    asio::io_context &io;
    std::shared_ptr<HttpConnections> connections;
    TrafficByStep traffic{};
};

namespace
{

using State = HttpClient::State;
using StatePtr = std::shared_ptr<State>;

/** Receives a response; its time-out begins anew with each part that arrives if the call says so. */
awaitable<error_code> receiveResponse(beast::tcp_stream &stream,
                                      const HttpCall &call,
                                      http::response_parser<http::string_body> &parser,
                                      beast::flat_buffer &buf,
                                      StepTraffic &traffic)
{
    const SystemClock clock;
    const auto endsAt = clock.now() + call.maxReceiveTime;
    while (!parser.is_done()) {
        const auto [ec, received] = co_await http::async_read_some(stream, buf, parser, useTuple);
        traffic.receivedBytes += received;
        if (ec) {
            co_return ec;
        }
        if (call.maxReceiveTime > Milliseconds::zero()) {
            stream.expires_after(std::min(call.timeout, Milliseconds(endsAt - clock.now())));
        }
    }
    co_return error_code{};
}

/**
 * Sends a request on an open connection and receives the response.
 * @param message The message of the call.
 * @param traffic Counts the bytes.
 * @param keepAlive Set to true if the connection can be reused afterwards.
 */
awaitable<HttpResult> exchangeMessages(beast::tcp_stream &stream,
                                       const HttpCall &call,
                                       const http::request<http::string_body> &message,
                                       StepTraffic &traffic,
                                       bool &keepAlive)
{
    const auto [writeError, sent] = co_await http::async_write(stream, message, useTuple);
    traffic.sentBytes += sent;
    if (writeError) {
        co_return noResponseError(call, writeError);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(call.maxResponseBytes);
    beast::flat_buffer buf;
    if (const auto ec = co_await receiveResponse(stream, call, parser, buf, traffic); ec) {
        co_return noResponseError(call, ec);
    }
    keepAlive = parser.get().keep_alive() && buf.size() == 0;
    co_return toResponse(parser.release());
}

/** Opens a connection; an error means that nothing was sent. */
awaitable<absl::Status> connect(beast::tcp_stream &stream, const HttpCall &call)
{
    const auto endpoint = parseEndpoint<tcp::endpoint>(call.address);
    if (!endpoint) {
        co_await asio::post(stream.get_executor(), asio::use_awaitable);
        co_return callError(absl::StatusCode::kUnavailable, call, "not an address of the form IP:port");
    }
    if (const auto [ec] = co_await stream.async_connect(*endpoint, useTuple); ec) {
        co_return callError(absl::StatusCode::kUnavailable, call, ec.message());
    }
    error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return absl::OkStatus();
}

/** Sends a request on the connection that was assigned to its call, and receives the response. */
awaitable<HttpResult> performOn(State &state,
                                AssignedConnection assigned,
                                const HttpCall &call,
                                const http::request<http::string_body> &message,
                                TimerTime deadline)
{
    const Destination destination{call.address, call.channel};
    const bool isOpen = assigned.ref.isSet();
    const auto ref = isOpen ? assigned.ref : addConnection(*state.connections);
    auto &stream = *state.connections->table.get<ConnectionPtr>(ref);
    stream.expires_at(deadline);
    if (!isOpen) {
        if (auto status = co_await connect(stream, call); !status.ok()) {
            closeConnection(*state.connections, destination, ref);
            co_return status;
        }
    }
    bool keepAlive = false;
    auto &traffic = state.traffic[static_cast<std::size_t>(call.step)];
    auto result = co_await exchangeMessages(stream, call, message, traffic, keepAlive);
    if (result.ok()) {
        result->connection = state.connections->table.get<ConnectionNumber>(ref);
    } else {
        closeIdleConnections(*state.connections, destination);
    }
    if (keepAlive) {
        releaseConnection(state.connections, destination, ref);
    } else {
        closeConnection(*state.connections, destination, ref);
    }
    co_return result;
}

/** Makes one call. */
awaitable<HttpResult> perform(const StatePtr &state, HttpCall &call)
{
    auto &traffic = state->traffic[static_cast<std::size_t>(call.step)];
    ++traffic.calls;
    const auto deadline = asio::steady_timer::clock_type::now() + call.timeout;
    const auto message = toMessage(call); // before a connection is taken, as it throws if the call cannot be sent
    const auto assigned = co_await acquireConnection(state->connections, call, deadline);
    if (!assigned.ok()) {
        ++traffic.failures;
        co_return assigned.status();
    }
    auto result = co_await performOn(*state, *assigned, call, message, deadline);
    traffic.failures += result.ok() ? 0 : 1;
    co_return result;
}

awaitable<void> performAndReport(StatePtr shared, HttpCall moved, HttpCallback function)
{
    const StatePtr state = std::move(shared);
    HttpCall call = std::move(moved);
    const HttpCallback callback = std::move(function);
    HttpResult result = absl::UnknownError("");
    try {
        result = co_await perform(state, call);
    } catch (const std::exception &error) {
        result = callError(absl::StatusCode::kUnknown, call, error.what());
    }
    callback(std::move(result));
}

} // namespace

HttpClient::HttpClient(asio::io_context &io, HttpClientSettings settings)
    : m_state(std::make_shared<State>(io, settings))
{
}

HttpClient::~HttpClient()
{
    close();
}

void HttpClient::send(HttpCall call, HttpCallback callback)
{
    asio::co_spawn(m_state->io, performAndReport(m_state, std::move(call), std::move(callback)), asio::detached);
}

const TrafficByStep &HttpClient::traffic() const
{
    return m_state->traffic;
}

ConnectionsByChannel HttpClient::connections() const
{
    return countConnections(*m_state->connections);
}

void HttpClient::close()
{
    closeAllConnections(*m_state->connections);
}

} // namespace flamingotally
