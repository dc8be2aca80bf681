/** @file front_result.h Hands out the results of tasks, from the tables or from the worker that holds them. */
#pragma once

#include "net/front_read.h"

#include <functional>

namespace flamingotally
{

/** Largest result that is fetched from a worker. */
constexpr std::size_t maxResultBytes = 64 * 1024 * 1024;

/**
 * Answers a request for the result of a task, whole or not at all: length and digest are compared with the record.
 * @param context The tables.
 * @param match Names the job.
 * @param request May name a task by its ordinal as `?task=`; the first one otherwise.
 * @param send Makes the call to the worker.
 * @param respond Takes the answer.
 */
void showResult(const ReadContext &context,
                const RouteMatch &match,
                const HttpRequest &request,
                const std::function<void(HttpCall, HttpCallback)> &send,
                HttpResponder respond);

} // namespace flamingotally
