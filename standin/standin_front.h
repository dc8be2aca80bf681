/** @file standin_front.h HTTP front end of the stand-in: decodes requests and encodes responses. */
#pragma once

#include "net/http_type.h"
#include "standin_base.h"

#include <functional>

namespace flamingotally::standin
{

/** Puts decoded requests into the inbox of the stand-in and sends the responses of the outbox. Makes no decisions. */
class StandinFront
{
public:
    /**
     * @param standin Tables of the stand-in, with inbox and outbox.
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
    /** Puts a request into the inbox and remembers the responder until deliver() sends the response. */
    void accept(RequestBody body, const HttpResponder &responder);

    Standin &m_standin;
    std::function<void()> m_wake;
    absl::flat_hash_map<Handle, HttpResponder> m_responders;
    Handle m_nextHandle = 1;
};

} // namespace flamingotally::standin
