/** @file http_server.h An HTTP server on one io_context: bounded connections, sizes and times. */
#pragma once

#include "net/http_type.h"

#include <memory>

namespace boost::asio
{
class io_context;
}

namespace flamingotally
{

/** Bounds of a server. */
struct HttpServerSettings {
    std::size_t maxConnections = 4'096; ///< Connections beyond this wait in the kernel's queue.
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 256 * 1024; ///< Larger requests are answered with 413.
    Milliseconds requestTimeout{10'000}; ///< From a request's first byte to its last; answered with 408 beyond.
    Milliseconds idleTimeout{120'000}; ///< A connection without a request is closed after this time.
    Milliseconds writeTimeout{30'000}; ///< For a client to take an answer.
    Milliseconds drainGrace{300}; ///< How long a shutdown still takes requests that are under way.
};

/** Serves requests. All of it runs on the thread that runs the io_context. Outlives the responders it hands out. */
class HttpServer
{
public:
    /**
     * Makes a server that does not listen yet.
     * @param io Runs it.
     * @param settings Its bounds.
     * @param handler Takes each whole request.
     */
    HttpServer(boost::asio::io_context &io, HttpServerSettings settings, HttpHandler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    /**
     * Binds and begins to accept.
     * @param address "IP:port"; port 0 takes any free one.
     */
    absl::Status listen(const std::string &address);

    /** Address that it listens on, with the port that it got. */
    std::string address() const;

    /**
     * Shuts down gracefully: takes what still arrives for the grace time, then accepts no more, answers every request
     * in hand and closes each connection after its answer.
     * @param drained Called once, when no connection is left.
     */
    void drain(std::function<void()> drained);

    /** Closes everything at once. */
    void close();

    std::size_t connectionCount() const;

    /** Requests that were handed over and not answered yet. */
    std::size_t requestsInHand() const;

    struct State;

private:
    std::shared_ptr<State> m_state; ///< Shared with the operations under way, which may outlive this.
};

} // namespace flamingotally
