#include "net/http_client.h"

#include "core/error.h"
#include "core/table.h"
#include "net/clock.h"
#include "net/coroutine.h"
#include "net/endpoint.h"
#include "table/http_table.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace flamingotally
{

namespace http = beast::http;

namespace
{

struct ConnectionTag;

/** A connection to another process, in use or idle. */
using ConnectionPtr = std::unique_ptr<beast::tcp_stream>;
using ConnectionTable = Table<ConnectionTag, ConnectionPtr>;
using ConnectionRef = ConnectionTable::RowRef;

/** A connection that no call uses. */
struct IdleConnection {
    ConnectionRef ref;
    std::uint64_t number = 0; ///< Counts releases, so the lowest number has been idle for longest.
};

http::request<http::string_body> toMessage(HttpCall &call)
{
    const auto name = rowOf(httpMethodTable, call.method).name;
    http::request<http::string_body> message;
    message.version(11);
    message.method_string({name.data(), name.size()});
    message.target(call.target);
    message.set(http::field::host, call.address);
    for (const auto &field : call.fields) {
        message.set(field.name, field.value);
    }
    if (!call.body.empty()) {
        message.set(http::field::content_type, call.contentType);
    }
    message.body() = std::move(call.body);
    message.prepare_payload();
    return message;
}

HttpResponse toResponse(http::response<http::string_body> message)
{
    HttpResponse response;
    response.status = message.result_int();
    response.contentType = std::string(message[http::field::content_type]);
    for (const auto &it : message) {
        response.fields.push_back({std::string(it.name_string()), std::string(it.value())});
    }
    response.body = std::move(message.body());
    return response;
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
    State(asio::io_context &context, HttpClientSettings bounds) : io(context), settings(bounds)
    {
    }

    asio::io_context &io;
    HttpClientSettings settings;
    ConnectionTable connections;
    TrafficByStep traffic{};
    absl::flat_hash_map<std::string, std::vector<IdleConnection>> idle; ///< By address, the latest released last.
    std::map<std::uint64_t, std::string> idleByAge; ///< Addresses of the idle connections, by IdleConnection::number.
    std::uint64_t releases = 0; ///< Connections released so far.
};

namespace
{

using State = HttpClient::State;
using StatePtr = std::shared_ptr<State>;

/** Removes a usable connection to an address from the idle ones, closing unusable ones; unset if none is usable. */
ConnectionRef takeIdle(State &state, const std::string &address)
{
    const auto it = state.idle.find(address);
    if (it == state.idle.end()) {
        return {};
    }
    auto &idle = it->second;
    while (!idle.empty()) {
        const auto [ref, number] = idle.back();
        idle.pop_back();
        state.idleByAge.erase(number);
        if (isUsable(*state.connections.get<ConnectionPtr>(ref))) {
            return ref;
        }
        state.connections.erase(ref);
    }
    return {};
}

/** Keeps a connection open for the next call, or closes it if the address has enough idle ones. */
void releaseConnection(State &state, const std::string &address, ConnectionRef ref)
{
    if (auto &idle = state.idle[address]; idle.size() < state.settings.maxIdlePerAddress) {
        state.connections.get<ConnectionPtr>(ref)->expires_never();
        idle.push_back({ref, ++state.releases});
        state.idleByAge.emplace(state.releases, address);
        return;
    }
    state.connections.erase(ref);
}

/** Closes the idle connections to an address. Used after a call without a response: the address may be unreachable. */
void closeIdleConnections(State &state, const std::string &address)
{
    if (const auto it = state.idle.find(address); it != state.idle.end()) {
        for (const auto &[ref, number] : std::exchange(it->second, {})) {
            state.connections.erase(ref);
            state.idleByAge.erase(number);
        }
    }
}

/** Returns true if a call may open a connection; at the limit, closes the one that has been idle for longest. */
bool makeRoom(State &state)
{
    if (state.connections.size() < state.settings.maxConnections) {
        return true;
    }
    if (state.idleByAge.empty()) {
        return false;
    }
    const auto oldest = state.idleByAge.begin();
    auto &idle = state.idle[oldest->second];
    state.connections.erase(idle.front().ref); // the first released of an address is also its oldest
    idle.erase(idle.begin());
    state.idleByAge.erase(oldest);
    return true;
}

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

/** Makes one call; reuses an idle connection to the address if there is one. */
awaitable<HttpResult> perform(const StatePtr &state, HttpCall &call)
{
    auto &traffic = state->traffic[static_cast<std::size_t>(call.step)];
    ++traffic.calls;
    const auto message = toMessage(call); // before a connection is taken, as it throws if the call cannot be sent
    auto ref = takeIdle(*state, call.address);
    const bool isOpen = ref.isSet();
    if (!isOpen && !makeRoom(*state)) {
        ++traffic.failures;
        co_await asio::post(state->io, asio::use_awaitable);
        co_return callError(absl::StatusCode::kUnavailable, call, "connection limit reached");
    }
    if (!isOpen) {
        ref = state->connections.insert(std::make_unique<beast::tcp_stream>(state->io));
    }
    auto &stream = *state->connections.get<ConnectionPtr>(ref);
    stream.expires_after(call.timeout);
    if (!isOpen) {
        if (auto status = co_await connect(stream, call); !status.ok()) {
            ++traffic.failures;
            state->connections.erase(ref);
            co_return status;
        }
    }
    bool keepAlive = false;
    auto result = co_await exchangeMessages(stream, call, message, traffic, keepAlive);
    if (!result.ok()) {
        ++traffic.failures;
        closeIdleConnections(*state, call.address);
    }
    if (keepAlive) {
        releaseConnection(*state, call.address, ref);
    } else {
        state->connections.erase(ref);
    }
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

void HttpClient::close()
{
    for (const auto &[address, idle] : std::exchange(m_state->idle, {})) {
        for (const auto &it : idle) {
            m_state->connections.erase(it.ref);
        }
    }
    m_state->idleByAge.clear();
    m_state->connections.forEach([this](ConnectionRef ref) { m_state->connections.get<ConnectionPtr>(ref)->close(); });
}

} // namespace flamingotally
