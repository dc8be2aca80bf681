/**
 * @file front.h HTTP front end for callers and operators: converts requests into typed actions for the inbox and the
 * responses of a tick into HTTP responses. The only decision that it makes is who may read.
 */
#pragma once

#include "net/front_read.h"
#include "net/http_client.h"
#include "net/metrics.h"

#include <absl/container/flat_hash_map.h>

#include <functional>

namespace flamingotally
{

/** Sends a call to another process: HttpClient::send() in the daemon, a fake in tests. */
using HttpSender = std::function<void(HttpCall, HttpCallback)>;

/** Functions through which the front end reaches its environment. */
struct FrontPorts {
    std::function<MonotonicTime()> now; ///< Returns the current time.
    std::function<void()> wake; ///< Requests a tick.
    HttpSender send; ///< Sends the calls that fetch results from workers.
};

/** Handles the requests of callers and sends the responses. Fulfils the concept `ResponseSink`. */
class Front
{
public:
    /**
     * Makes a front end.
     * @param node The daemon whose tables the front end reads and whose inbox it fills.
     * @param ports Functions for time, wake-ups and calls.
     */
    Front(Node &node, FrontPorts ports) : m_node(node), m_ports(std::move(ports))
    {
    }

    /**
     * Handles a request. The responder is called at once, after a tick has produced the response, or after a worker has
     * sent the requested result.
     */
    void handle(const HttpRequest &request, HttpResponder respond);

    /** Sends the response of a tick to its caller; a handle without a pending request is ignored. */
    void sendResponse(const CallerResponse &response);

    /** Returns the number of requests that wait for the response of a tick. */
    std::size_t pendingCount() const
    {
        return m_pending.size();
    }

private:
    /** A request that waits for the response of a tick. */
    struct Pending {
        Route route = Route::SubmitJob;
        HttpResponder respond;
    };

    void enqueue(const RouteMatch &match, const HttpRequest &request, HttpResponder respond);
    void refuse(const HttpError &error, const HttpResponder &respond);
    HttpResponse toResponse(Route route, const CallerResponse &response) const;
    ReadContext contextOf(const BearerRights &rights) const;

    Node &m_node;
    FrontPorts m_ports;
    Metrics m_metrics;
    RequestHandle m_lastHandle = 0;
    absl::flat_hash_map<RequestHandle, Pending> m_pending;
};

} // namespace flamingotally
