/** @file http_server.h An HTTP server on one io_context, with limits on connections, sizes and times. */
#pragma once

#include "net/http_type.h"

#include <memory>

namespace boost::asio
{
class io_context;
}

namespace flamingotally
{

class HttpBudget;

/** Limits of a server. */
struct HttpServerSettings {
    /**
     * At this number a slow or idle connection is closed for each further one; if there is none, further ones wait in
     * the kernel's queue.
     */
    std::size_t maxConnections = 4'096;
    bool makesRoom = true; ///< If false, none is closed at `maxConnections`, and further ones always wait.
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 256 * 1024; ///< A request with a larger body gets status 413.
    std::size_t maxTrailerBytes = 16 * 1024; ///< Header fields after a chunked body; as many as in the header.
    /** A chunk's line with its size and extension. No extension is in common use; 4 KB fit into one read. */
    std::size_t maxChunkExtensionBytes = 4 * 1024;
    Milliseconds requestTimeout{10'000}; ///< From the first to the last byte of a request; slower ones get status 408.
    Milliseconds idleTimeout{120'000}; ///< A connection on which no request has begun is closed after this time.
    Milliseconds writeTimeout{30'000}; ///< For sending a response.
    Milliseconds drainGraceTime{300}; ///< Time for which a shutdown still accepts connections and requests.
    std::shared_ptr<HttpBudget> budget{}; ///< Shared by all servers of a process; if null, the server has its own.
};

/**
 * Serves requests. All of its code runs on the thread that runs the io_context. The server must outlive the responders
 * that it hands out.
 */
class HttpServer
{
public:
    /**
     * Makes a server that does not listen yet.
     * @param io Runs the server.
     * @param settings Limits.
     * @param handler Called with each complete request.
     */
    HttpServer(boost::asio::io_context &io, HttpServerSettings settings, HttpHandler handler);
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    ~HttpServer();

    /**
     * Takes an address, on which the kernel queues connections until accept() is called. May be called again after an
     * error.
     * @param address "IP:port"; port 0 takes any free port.
     */
    absl::Status bind(const std::string &address);

    /** Starts to accept connections, after bind() has succeeded. */
    void accept();

    /** Takes an address and starts to accept connections. */
    absl::Status listen(const std::string &address);

    /** Returns the address on which the server listens, with the port that was bound. */
    std::string address() const;

    /**
     * Shuts down gracefully: still accepts connections and requests during the grace time, then stops accepting,
     * responds to all pending requests and closes each connection after its response.
     * @param notifyDrained Called once, when no connection is left.
     */
    void drain(std::function<void()> notifyDrained);

    /** Closes the listening socket and all connections at once; pending requests get no response. */
    void close();

    /** Returns the number of open connections. */
    std::size_t connectionCount() const;

    /** Returns the number of requests to which the handler has not responded yet. */
    std::size_t pendingRequestCount() const;

    struct State;

private:
    std::shared_ptr<State> m_state; ///< Shared with the operations in progress, which may outlive this object.
};

} // namespace flamingotally
