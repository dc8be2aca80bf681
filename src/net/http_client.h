/** @file http_client.h An HTTP client on one io_context that keeps its connections. */
#pragma once

#include "net/http_type.h"

#include <memory>

namespace boost::asio
{
class io_context;
}

namespace flamingotally
{

/** Bounds of a client. */
struct HttpClientSettings {
    std::size_t idlePerAddress = 8; ///< Idle connections kept for each address.
    std::size_t maxConnections = 4'096; ///< Calls beyond this fail as never sent.
};

/** Makes calls to other processes. All of it runs on the thread that runs the io_context. */
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
     * @param callback Called once with the result, never before this returns.
     */
    void send(HttpCall call, HttpCallback callback);

    /** Closes all connections; calls under way fail. */
    void close();

    struct State;

private:
    std::shared_ptr<State> m_state; ///< Shared with the operations under way, which may outlive this.
};

} // namespace flamingotally
