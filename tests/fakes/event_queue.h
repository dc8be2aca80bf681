/** @file event_queue.h Virtual clock and its events. Events of the same time run in the order in which they were added.
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

/** Function that runs at a time of the virtual clock. */
using EventFunction = std::function<void()>;

/** The virtual clock and its pending events. */
class EventQueue
{
public:
    /** Returns the virtual time since the start. */
    Milliseconds now() const
    {
        return m_now;
    }

    /** Adds an event. An event in the past runs next. */
    void at(Milliseconds when, EventFunction function)
    {
        m_events.push({std::max(when, m_now), m_nextNumber++, std::move(function)});
    }

    /** Adds an event that runs after a delay. */
    void after(Milliseconds delay, EventFunction function)
    {
        at(m_now + delay, std::move(function));
    }

    /**
     * Runs the next event if it is not later than a time; otherwise sets the clock to that time.
     * @return True if an event was run.
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
