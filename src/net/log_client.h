/** @file log_client.h HTTP client of the platform's log. */
#pragma once

#include "net/port_context.h"

#include <optional>

namespace flamingotally
{

/** Appends batches to the platform's log and reads records from the log. */
class HttpLogClient
{
public:
    explicit HttpLogClient(const PortContext &context);

    /** Appends a batch as one record; the outcome arrives in Inbox::appendResponses. */
    void append(const Batch &batch);

    /**
     * Reads records from an offset on; the result, including a failed one, arrives in Inbox::logReads. If there are no
     * such records yet, the log delays its response for up to the setting `logPoll`.
     */
    void readFrom(std::uint64_t offset);

private:
    void handlePage(const std::optional<LogPage> &page, MonotonicTime requestedAt);

    PortContext m_context;
};

} // namespace flamingotally
