/** @file front_read.h Responds to read-only requests from the tables. */
#pragma once

#include "key_func.h"
#include "net/front_action.h"
#include "net/http_type.h"
#include "node_base.h"

namespace flamingotally
{

/** Data for the response to a read-only request. */
struct ReadContext {
    const Node &node;
    MonotonicTime now{}; ///< Time of the request, for the age of the view.
    BearerRights rights; ///< Rights of the key in the request.
};

/**
 * Checks whether the bearer of the request's key is permitted to read what the route shows.
 * @return `None` if the bearer is, or if admission checks the key later; otherwise the reason of the refusal.
 */
Reason checkAccess(const ReadContext &context, const RouteMatch &match);

/**
 * Responds to a read-only request that checkAccess() has permitted. Front itself responds to requests for a single job,
 * a result or the metrics.
 */
HttpResponse readRoute(const ReadContext &context, const RouteMatch &match, const HttpRequest &request);

/**
 * Makes the response that shows a job, or an error response if the job is unknown or no longer retained.
 * @param status HTTP status of the response that shows the job.
 */
HttpResponse showJob(const ReadContext &context, const RequestId &id, unsigned status);

} // namespace flamingotally
