/** @file port_context.h Objects that the ports of a daemon share. */
#pragma once

#include "net/clock.h"
#include "net/http_client.h"
#include "net/record_ring.h"
#include "node_base.h"

#include <functional>

namespace flamingotally
{

/** Objects that the ports of a daemon share. */
struct PortContext {
    HttpClient &http;
    const Settings &settings;
    Inbox &inbox; ///< Receives responses and messages for the next tick.
    Counters &counters;
    RecordRing &records; ///< Newest log records, which peers can fetch.
    const SystemClock &clock;
    std::function<void()> wake; ///< Requests a tick; called after a message was put into the inbox.
};

} // namespace flamingotally
