/** @file http_client.h An HTTP client on one io_context that reuses its connections. */
#pragma once

#include "net/http_type.h"

#include <memory>

namespace boost::asio
{
class io_context;
}

namespace flamingotally
{

/** Limits of a client. */
struct HttpClientSettings {
    std::size_t maxIdlePerAddress = 8; ///< Idle connections that are kept open for each address.
    std::size_t maxConnections = 4'096; ///< Beyond it, a call that needs a new connection fails as never sent.
};

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

    /** Closes all connections; calls in progress fail. */
    void close();

    struct State;

private:
    std::shared_ptr<State> m_state; ///< Shared with the operations in progress, which may outlive this object.
};

} // namespace flamingotally
