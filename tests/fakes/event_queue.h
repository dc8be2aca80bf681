/** @file event_queue.h Virtual clock and what is to happen at its times. Events of one time run in the order of adding.
 */
#pragma once

#include "core/time_type.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace flamingotally::fakes
{

/** Something that happens at a time of the virtual clock. */
using EventFunction = std::function<void()>;

/** The virtual clock and its pending events. */
class EventQueue
{
public:
    /** Time since the world began. */
    Milliseconds now() const
    {
        return m_now;
    }

    /** Adds an event; one in the past happens next. */
    void at(Milliseconds when, EventFunction function)
    {
        m_events.push({std::max(when, m_now), m_nextNumber++, std::move(function)});
    }

    /** Adds an event some time from now. */
    void after(Milliseconds delay, EventFunction function)
    {
        at(m_now + delay, std::move(function));
    }

    /**
     * Runs the next event, unless it lies beyond a time; then the clock is set to that time.
     * @return Whether an event was run.
     */
    bool runNext(Milliseconds until)
    {
        if (m_events.empty() || m_events.top().when > until) {
            m_now = std::max(m_now, until);
            return false;
        }
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.when;
        event.function();
        return true;
    }

private:
    struct Event {
        Milliseconds when;
        std::uint64_t number;
        EventFunction function;

        bool operator<(const Event &other) const
        {
            return when != other.when ? when > other.when : number > other.number;
        }
    };

    Milliseconds m_now{0};
    std::uint64_t m_nextNumber = 0;
    std::priority_queue<Event> m_events;
};

} // namespace flamingotally::fakes
