/** @file http_client.h An HTTP client on one io_context that reuses its connections. */
#pragma once

#include "core/enum_table.h"
#include "net/http_type.h"

#include <array>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace flamingotally
{

/** Limits of a client. */
struct HttpClientSettings {
    std::size_t maxIdlePerAddress = 8; ///< Idle connections that are kept open for each address and channel.
    Milliseconds idleTimeout{5'000}; ///< A connection that has been idle for this long is closed.
    /** At this limit the connection that has been idle for longest makes room; if none is idle, a call is not sent. */
    std::size_t maxConnections = 3'000;
};

/** What the calls of one step have sent and received. Bytes are those of HTTP messages, without the transport's. */
struct StepTraffic {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0; ///< Calls without a response.
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0; ///< Of complete responses only.
};

/** Traffic since the client was made, by step. */
using TrafficByStep = std::array<StepTraffic, enumSize<Step>>;

/** Connections of a channel. */
struct ChannelConnections {
    std::size_t open = 0; ///< In use, being opened, and idle.
    std::size_t idle = 0;
    std::size_t waitingCalls = 0; ///< Calls that wait until a connection becomes free.
};

/** Connections by channel. */
using ConnectionsByChannel = std::array<ChannelConnections, enumSize<HttpChannel>>;

/** Makes calls to other processes. All of its code runs on the thread that runs the io_context. */
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &io, HttpClientSettings settings = {});
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    ~HttpClient();

    /**
     * Makes a call.
     * @param call The request.
     * @param callback Called once with the result, but never before send() has returned.
     */
    void send(HttpCall call, HttpCallback callback);

    /** Closes all connections; calls in progress fail, and so do later ones. */
    void close();

    /** Returns what the calls have sent and received so far. */
    const TrafficByStep &traffic() const;

    /** Returns the number of connections and waiting calls. */
    ConnectionsByChannel connections() const;

    struct State;

private:
    std::shared_ptr<State> m_state; ///< Shared with the operations in progress, which may outlive this object.
};

} // namespace flamingotally
