/** @file port_context.h What the ports of a daemon share. */
#pragma once

#include "net/clock.h"
#include "net/http_client.h"
#include "net/record_ring.h"
#include "node_base.h"

#include <functional>

namespace flamingotally
{

/** What the ports of a daemon share. */
struct PortContext {
    HttpClient &http;
    const Settings &settings;
    Inbox &inbox; ///< Filled with what arrives.
    Counters &counters;
    RecordRing &records; ///< Newest records, for peers.
    const SystemClock &clock;
    std::function<void()> wake; ///< Called when the inbox has something.
};

} // namespace flamingotally
