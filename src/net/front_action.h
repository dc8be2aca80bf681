/** @file front_action.h Converts requests that change something or wait for the end of a job into typed actions. */
#pragma once

#include "message_type.h"
#include "net/http_error.h"
#include "net/route.h"

#include <variant>

namespace flamingotally
{

/** Longest time for which a request may wait for the end of a job. */
constexpr Milliseconds maxWaitForEnd{60'000};

/** The action that a request asks for, or the error if the request is invalid. */
using ActionResult = std::variant<CallerAction, HttpError>;

/**
 * Converts a request into an action.
 * @param match Route of the request: one with Access::Admission, or Route::ShowJob if the request waits for the end of
 * the job.
 * @param request The request.
 * @return The action, or the error if a parameter, the name or the body is malformed.
 */
ActionResult toAction(const RouteMatch &match, const HttpRequest &request);

/**
 * Makes the error for a malformed request.
 * @param detail One sentence for the caller.
 */
HttpError malformedRequest(std::string detail);

/**
 * Reads a non-negative integer from the query.
 * @param request The request.
 * @param name Name of the parameter.
 * @param max Greatest valid value.
 * @param fallback Value of a missing parameter.
 * @return The number, or nullopt if it is malformed or greater than max.
 */
std::optional<std::uint64_t>
queryNumber(const HttpRequest &request, std::string_view name, std::uint64_t max, std::uint64_t fallback);

} // namespace flamingotally
