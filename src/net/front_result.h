/** @file front_result.h Responds to requests for results of tasks from the tables or from the storing worker. */
#pragma once

#include "net/front_read.h"

#include <functional>

namespace flamingotally
{

/** Size limit of a result that is fetched from a worker, in bytes. */
constexpr std::size_t maxResultBytes = 64 * 1024 * 1024;

/**
 * Responds to a request for the result of a task. Only a complete result is sent: if the length or the digest
 * differs from that in the tables, the response is an error.
 * @param context The tables.
 * @param match Route; its subject is the id of the job.
 * @param request Its query parameter `task` is the ordinal of the task; 0 by default.
 * @param send Sends the call to the worker.
 * @param respond Called once with the response, at once or after the worker has responded.
 */
void showResult(const ReadContext &context,
                const RouteMatch &match,
                const HttpRequest &request,
                const std::function<void(HttpCall, HttpCallback)> &send,
                HttpResponder respond);

} // namespace flamingotally
