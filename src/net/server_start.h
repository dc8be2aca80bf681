/**
 * @file server_start.h Takes the addresses of a daemon's servers, and waits for those that another process still has.
 */
#pragma once

#include "net/clock.h"
#include "net/start_log.h"
#include "net/start_retry.h"

#include <boost/asio/steady_timer.hpp>

#include <concepts>
#include <functional>
#include <string>
#include <vector>

namespace flamingotally
{

/** A server that can take its address before it accepts connections. */
template<typename Server>
concept BindableServer = requires(Server &server, const std::string &address)
{
    {
        server.bind(address)
        } -> std::same_as<absl::Status>;
    server.accept();
};

/**
 * Starts the servers of a daemon. An address that another process has is tried again, with growing pauses, until it is
 * free or the limit is reached; those that were taken stay taken. No server accepts connections before all addresses
 * are taken.
 */
class ServerStart
{
public:
    /**
     * @param io Runs the retries.
     * @param daemon Name of the daemon, for the log.
     * @param limit How long to wait for addresses.
     */
    ServerStart(boost::asio::io_context &io, std::string daemon, Milliseconds limit);

    /** Adds a server, which must outlive this object. Addresses are taken in the order of the calls. */
    template<BindableServer Server>
    void add(std::string address, Server &server)
    {
        m_rows.push_back({std::move(address),
                          [&server](const std::string &it) { return server.bind(it); },
                          [&server] {
                              server.accept();
                          }});
    }

    /**
     * Takes the addresses. Call it once.
     * @param notify Called once, before start() returns if no address has to be waited for: without an error when all
     * servers accept connections, or with the error for which the start is given up.
     */
    void start(std::function<void(const absl::Status &)> notify);

    /** Stops waiting; `notify` is not called any more. */
    void cancel();

private:
    /** A server and its address. */
    struct Row {
        std::string address;
        std::function<absl::Status(const std::string &)> bind;
        std::function<void()> accept;
        bool isBound = false;
    };

    absl::Status bindPending();
    void tryOnce();
    void retryAfter(Milliseconds pause);
    void finish(const absl::Status &status);

    std::vector<Row> m_rows;
    SystemClock m_clock;
    StartLog m_log;
    StartRetry m_retry;
    absl::Status m_lastError; ///< What was last logged as the reason to wait.
    boost::asio::steady_timer m_timer;
    std::function<void(const absl::Status &)> m_notify;
};

} // namespace flamingotally
