/** @file tick_loop.h Runs ticks on an io_context: on an event, or when the last tick asked for the next one. */
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

/** Sleeps between ticks; any number of events before a tick make one tick. */
class TickLoop
{
public:
    /** Runs one tick and returns the time of the next one. */
    using TickFunction = std::function<MonotonicTime()>;

    /**
     * Makes a loop that sleeps until the first wake().
     * @param io Runs it.
     * @param tick Runs one tick.
     * @param gather Pause between an event and its tick, in which further events join it.
     */
    TickLoop(boost::asio::io_context &io, TickFunction tick, Milliseconds gather = Milliseconds::zero());
    TickLoop(const TickLoop &) = delete;
    TickLoop &operator=(const TickLoop &) = delete;
    ~TickLoop();

    /** Asks for a tick, after all that is ready to run now. */
    void wake();

    /** Runs no more ticks. */
    void stop();

    struct State;

private:
    std::shared_ptr<State> m_state; ///< Shared with the operations under way, which may outlive this.
};

} // namespace flamingotally
