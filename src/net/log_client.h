/** @file log_client.h The platform's log over HTTP. */
#pragma once

#include "net/clock.h"
#include "net/http_client.h"
#include "node_base.h"

#include <functional>

namespace flamingotally
{

/** What the ports of a daemon share. */
struct PortContext {
    HttpClient &http;
    const Settings &settings;
    Inbox &inbox; ///< Filled with what arrives.
    const SystemClock &clock;
    std::function<void()> wake; ///< Called when the inbox has something.
};

/** Appends to the platform's log and reads it. */
class HttpLogClient
{
public:
    explicit HttpLogClient(const PortContext &context);

    /** Appends a batch as one record. */
    void append(const Batch &batch);

    /** Reads records from an offset on; waits for the next when there are none yet. */
    void readFrom(std::uint64_t offset);

private:
    PortContext m_context;
};

} // namespace flamingotally
