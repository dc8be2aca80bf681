/** @file standin_front.h HTTP front end of the stand-in: decodes requests into typed ones and encodes the responses. */
#pragma once

#include "net/http_type.h"
#include "standin_base.h"

#include <functional>

namespace flamingotally::standin
{

/** Puts requests into the inbox and sends the responses in the outbox. Makes no decisions. */
class StandinFront
{
public:
    /**
     * @param standin Tables of the stand-in.
     * @param wake Called after a request was put into the inbox.
     */
    StandinFront(Standin &standin, std::function<void()> wake);

    /** Handles a request to the log, the host list, the journal or the fault switches. */
    void handlePlatform(HttpRequest request, const HttpResponder &responder);

    /**
     * Handles a request to a worker.
     * @param worker Index of the worker.
     */
    void handleWorker(std::size_t worker, HttpRequest request, const HttpResponder &responder);

    /** Sends all responses in the outbox and empties it. */
    void deliver();

private:
    void accept(RequestBody body, const HttpResponder &responder);

    Standin &m_standin;
    std::function<void()> m_wake;
    absl::flat_hash_map<Handle, HttpResponder> m_responders;
    Handle m_nextHandle = 1;
};

} // namespace flamingotally::standin
