/** @file front_read.h Answers read-only requests from the tables. */
#pragma once

#include "key_func.h"
#include "net/front_action.h"
#include "net/http_type.h"
#include "node_base.h"

namespace flamingotally
{

/** Data from which a read-only request is answered. */
struct ReadContext {
    const Node &node;
    MonotonicTime now{}; ///< Time of the request, for the age of the view.
    BearerRights rights; ///< Rights of the key in the request.
};

/**
 * Checks whether the bearer of the request's key may read the resource of the route.
 * @return `None` if so, otherwise the reason of the refusal.
 */
Reason checkAccess(const ReadContext &context, const RouteMatch &match);

/** Answers a request after checkAccess() has permitted it. Front answers requests for jobs, results and metrics. */
HttpResponse readRoute(const ReadContext &context, const RouteMatch &match, const HttpRequest &request);

/** Returns a job with the given HTTP status, or an error if the job is unknown or no longer retained. */
HttpResponse showJob(const ReadContext &context, const RequestId &id, unsigned status);

} // namespace flamingotally
