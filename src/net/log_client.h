/** @file log_client.h The platform's log over HTTP. */
#pragma once

#include "net/port_context.h"

#include <optional>

namespace flamingotally
{

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
    void takePage(const std::optional<LogPage> &page, MonotonicTime requestedAt);

    PortContext m_context;
};

} // namespace flamingotally
