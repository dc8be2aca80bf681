/** @file standin_front.h The stand-in's HTTP: turns requests into typed ones and answers into bytes. */
#pragma once

#include "net/http_type.h"
#include "standin_base.h"

#include <functional>

namespace flamingotally::standin
{

/** Puts requests into the inbox and answers what lies in the outbox. Decides nothing. */
class StandinFront
{
public:
    /**
     * @param standin The tables.
     * @param wake Called when the inbox has something.
     */
    StandinFront(Standin &standin, std::function<void()> wake);

    /** Takes a request to the log, the host list or the switches. */
    void handlePlatform(HttpRequest request, const HttpResponder &responder);

    /** Takes a request to a worker. */
    void handleWorker(std::size_t worker, HttpRequest request, const HttpResponder &responder);

    /** Empties the outbox. */
    void deliver();

private:
    void accept(RequestBody body, const HttpResponder &responder);

    Standin &m_standin;
    std::function<void()> m_wake;
    absl::flat_hash_map<Handle, HttpResponder> m_responders;
    Handle m_nextHandle = 1;
};

} // namespace flamingotally::standin
