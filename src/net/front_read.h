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
 * Checks whether the bearer of the request's key may read what the route shows.
 * @return `None` if the bearer may, or if admission checks the key later; otherwise the reason of the refusal.
 */
Reason checkAccess(const ReadContext &context, const RouteMatch &match);

/**
 * Answers a read-only request that checkAccess() has permitted. Requests for a single job, a result or the metrics are
 * answered by Front itself.
 */
HttpResponse readRoute(const ReadContext &context, const RouteMatch &match, const HttpRequest &request);

/**
 * Makes the response that shows a job, or an error response if the job is unknown or no longer retained.
 * @param status HTTP status of the response that shows the job.
 */
HttpResponse showJob(const ReadContext &context, const RequestId &id, unsigned status);

} // namespace flamingotally
