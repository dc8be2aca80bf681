/** @file daemon.h One entry daemon on one io_context: the node with its ports and its HTTP front end. */
#pragma once

#include "settings_type.h"

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace flamingotally
{

/** An entry daemon. All of its code runs on the thread that runs the io_context. */
class Daemon
{
public:
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /**
     * Takes the addresses for callers and peers, then serves and starts to read the log. If another process has an
     * address, the daemon waits for it on the io_context, for `addressTimeout` at most, and does not serve meanwhile.
     * @return The error for which the start is given up at once; without one, outcome() tells what became of the wait.
     */
    absl::Status start();

    /** Returns the error for which the start was given up, if it was. */
    absl::Status outcome() const;

    /** Starts a graceful shutdown: the daemon responds to all pending requests, leaves the cell, then stops. */
    void drain();

    /** Returns the address of the HTTP front as "IP:port", with the port that was bound. */
    std::string httpAddress() const;

    struct State;

private:
    friend class DaemonBuilder;
    explicit Daemon(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

/** Builds a daemon. */
class DaemonBuilder
{
public:
    explicit DaemonBuilder(Settings settings) : m_settings(std::move(settings))
    {
    }

    /**
     * Sets the incarnation, a number that must rise with every start of this daemon. By default, or if it is zero, the
     * wall time in milliseconds is used.
     */
    DaemonBuilder &withIncarnation(std::uint64_t incarnation);

    /**
     * Sets the seed of the random numbers. By default, or if it is zero, the system's random device supplies the seed.
     */
    DaemonBuilder &withSeed(std::uint64_t seed);

    /** Sets a function that is called once, when the shutdown of the daemon is complete or the start was given up. */
    DaemonBuilder &whenStopped(std::function<void()> function);

    /**
     * Builds the daemon.
     * @param io Runs the daemon and must outlive it.
     */
    std::unique_ptr<Daemon> build(boost::asio::io_context &io) const;

private:
    Settings m_settings;
    std::uint64_t m_incarnation = 0; ///< Zero for the default.
    std::uint64_t m_seed = 0; ///< Zero for the default.
    std::function<void()> m_notifyStopped;
};

} // namespace flamingotally
