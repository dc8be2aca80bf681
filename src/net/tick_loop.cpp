#include "net/tick_loop.h"

#include "net/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace flamingotally
{

namespace asio = boost::asio;

struct TickLoop::State {
    State(asio::io_context &context, TickFunction function, Milliseconds pause)
        : io(context), tick(std::move(function)), coalesceDelay(pause), timer(context)
    {
    }

    asio::io_context &io;
    TickFunction tick;
    Milliseconds coalesceDelay;
    asio::steady_timer timer;
    bool isTickQueued = false; ///< A tick runs soon: it is posted, or its coalescing delay has begun.
    bool isStopped = false;
};

namespace
{

using StatePtr = std::shared_ptr<TickLoop::State>;

void wakeLoop(const StatePtr &state);

/** Runs a tick and starts the timer of the next one. */
void runTick(const StatePtr &state)
{
    state->isTickQueued = false;
    if (state->isStopped) {
        return;
    }
    const auto next = state->tick();
    state->timer.expires_after(std::max(next - SystemClock().now(), Milliseconds::zero()));
    state->timer.async_wait([state](const boost::system::error_code &ec) {
        if (!ec) {
            wakeLoop(state);
        }
    });
}

/** Queues a tick unless one is already queued. */
void wakeLoop(const StatePtr &state)
{
    if (std::exchange(state->isTickQueued, true)) {
        return;
    }
    if (state->coalesceDelay == Milliseconds::zero()) {
        asio::post(state->io, [state] { runTick(state); });
        return;
    }
    state->timer.expires_after(state->coalesceDelay);
    state->timer.async_wait([state](const boost::system::error_code &ec) {
        if (!ec) {
            runTick(state);
        }
    });
}

} // namespace

TickLoop::TickLoop(asio::io_context &io, TickFunction tick, Milliseconds coalesceDelay)
    : m_state(std::make_shared<State>(io, std::move(tick), coalesceDelay))
{
}

TickLoop::~TickLoop()
{
    stop();
}

void TickLoop::wake()
{
    wakeLoop(m_state);
}

void TickLoop::stop()
{
    m_state->isStopped = true;
    m_state->timer.cancel();
}

} // namespace flamingotally
