/**
 * @file front.h The HTTP front for callers and operators: requests become typed actions in the inbox, answers of the
 * tick become responses. It decides nothing but who may read.
 */
#pragma once

#include "net/front_read.h"
#include "net/http_client.h"
#include "net/metrics.h"

#include <absl/container/flat_hash_map.h>

#include <functional>

namespace flamingotally
{

/** Makes a call to another process; the client of the daemon, or a fake. */
using HttpSender = std::function<void(HttpCall, HttpCallback)>;

/** Outside of the front. */
struct FrontPorts {
    std::function<MonotonicTime()> now; ///< Reads the clock.
    std::function<void()> wake; ///< Asks for a tick.
    HttpSender send; ///< Fetches results from workers.
};

/** Takes callers' requests and hands back their answers. An `ResponseSink`. */
class Front
{
public:
    /**
     * Makes a front.
     * @param node The daemon whose tables it reads and whose inbox it fills.
     * @param ports Its outside.
     */
    Front(Node &node, FrontPorts ports) : m_node(node), m_ports(std::move(ports))
    {
    }

    /** Takes a request. The responder is called now, or when the tick has answered. */
    void handle(const HttpRequest &request, HttpResponder respond);

    /** Hands the answer of a tick to its caller. */
    void answer(const CallerResponse &answer);

    /** Number of requests that wait for a tick's answer. */
    std::size_t pendingCount() const
    {
        return m_pending.size();
    }

private:
    /** A request in hand. */
    struct Pending {
        Route route = Route::SubmitJob;
        HttpResponder respond;
    };

    void enqueue(const RouteMatch &match, const HttpRequest &request, HttpResponder respond);
    void refuse(const HttpError &error, const HttpResponder &respond);
    HttpResponse toResponse(Route route, const CallerResponse &answer) const;
    ReadContext contextOf(const BearerRights &rights) const;

    Node &m_node;
    FrontPorts m_ports;
    Metrics m_metrics;
    RequestHandle m_lastHandle = 0;
    absl::flat_hash_map<RequestHandle, Pending> m_pending;
};

} // namespace flamingotally
