/** @file tick_loop.h Runs ticks on an io_context: after wake(), or at the time that the last tick returned. */
#pragma once

#include "core/time_type.h"

#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace flamingotally
{

/** Runs ticks and sleeps between them. All events that arrive before a tick are handled by that tick. */
class TickLoop
{
public:
    /** Runs one tick and returns the time of the next one. */
    using TickFunction = std::function<MonotonicTime()>;

    /**
     * Makes a loop that sleeps until the first wake().
     * @param io Runs the loop.
     * @param tick Runs one tick.
     * @param coalesceDelay Delay between an event and its tick, so that one tick handles several events.
     */
    TickLoop(boost::asio::io_context &io, TickFunction tick, Milliseconds coalesceDelay = Milliseconds::zero());
    TickLoop(const TickLoop &) = delete;
    TickLoop &operator=(const TickLoop &) = delete;
    ~TickLoop();

    /**
     * Requests a tick, which runs after the handlers that are already queued, or after the coalescing delay if there
     * is one.
     */
    void wake();

    /** Stops the loop; no further tick runs. */
    void stop();

    struct State;

private:
    std::shared_ptr<State> m_state; ///< Shared with the operations in progress, which may outlive this object.
};

} // namespace flamingotally
