/** @file front_read.h Answers requests that only read, from the tables. */
#pragma once

#include "key_func.h"
#include "net/front_action.h"
#include "net/http_type.h"
#include "node_base.h"

namespace flamingotally
{

/** What reads of the front are made from. */
struct ReadContext {
    const Node &node;
    MonotonicTime now{};
    BearerRights rights; ///< Of the key that came with the request.
};

/**
 * Judges whether a request may read what its route shows.
 * @return `None` when it may.
 */
Reason testAccess(const ReadContext &context, const RouteMatch &match);

/** Answers a request whose access was judged. Results and metrics are answered elsewhere. */
HttpResponse readRoute(const ReadContext &context, const RouteMatch &match, const HttpRequest &request);

/** Shows a job, or says that it is unknown or no longer kept. */
HttpResponse showJob(const ReadContext &context, const RequestId &id, unsigned status);

} // namespace flamingotally
