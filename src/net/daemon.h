/** @file daemon.h One entry daemon on one io_context: the node, its ports and its front. */
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

/** An entry daemon. All of it runs on the thread that runs the io_context. */
class Daemon
{
public:
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /** Listens for callers and peers, and begins to read the log. */
    absl::Status start();

    /** Shuts down gracefully: finishes every request in hand, leaves the cell, then stops. */
    void drain();

    /** Address of the front, with the port that it got. */
    std::string httpAddress() const;

    struct State;

private:
    friend class DaemonBuilder;
    explicit Daemon(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

/** Makes a daemon. */
class DaemonBuilder
{
public:
    explicit DaemonBuilder(Settings settings) : m_settings(std::move(settings))
    {
    }

    /** Sets the number that rises with every start of this daemon; wall time by default. */
    DaemonBuilder &withIncarnation(std::uint64_t incarnation);

    /** Sets the seed of its random numbers; taken from the machine by default. */
    DaemonBuilder &withSeed(std::uint64_t seed);

    /** Sets what is called once, when a shutdown is complete. */
    DaemonBuilder &whenStopped(std::function<void()> function);

    /** Makes the daemon on an io_context that outlives it. */
    std::unique_ptr<Daemon> build(boost::asio::io_context &io) const;

private:
    Settings m_settings;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_seed = 0;
    std::function<void()> m_stopped;
};

} // namespace flamingotally
