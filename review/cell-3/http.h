/** @file http.h HTTP/1.1 server and client on loopback, with a thread for each connection. */
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace cell
{

using Milliseconds = std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/** A request that a server has received. */
struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::string expectedInstance;
    std::string body;

    std::string text(const std::string &name) const;
    std::uint64_t number(const std::string &name) const;
};

/** Response of a server; with status zero the connection is closed without one. */
struct Response {
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
};

using Handler = std::function<Response(const Request &)>;

/** A server on a free port of 127.0.0.1. It lives until the program ends. */
class Server
{
public:
    explicit Server(Handler handler);

    /** Returns "127.0.0.1:port". */
    std::string address() const;

    /** Accepts connections again after stop(). */
    void start();

    /** Closes the listening socket and resets all connections, like a crash of the server's machine process. */
    void stop();

private:
    void accept();
    void serve(const std::shared_ptr<boost::asio::ip::tcp::socket> &socket);

    Handler m_handler;
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::mutex m_mutex;
    std::set<std::shared_ptr<boost::asio::ip::tcp::socket>> m_sockets;
    std::uint64_t m_generation = 0;
};

/** Result of a call; status zero when no whole response came within the time-out. */
struct CallResult {
    unsigned status = 0;
    std::string body;
};

/** Sends one request over a new connection. @param host Value of the Host header. */
CallResult call(const std::string &address,
                const std::string &method,
                const std::string &target,
                const std::string &host,
                const std::string &body,
                Milliseconds timeout);

/** Returns a port of 127.0.0.1 that was free a moment ago. */
std::uint16_t freePort();

} // namespace cell
