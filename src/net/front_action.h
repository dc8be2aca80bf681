/** @file front_action.h Turns requests that change something, or wait, into typed actions. */
#pragma once

#include "message_type.h"
#include "net/http_error.h"
#include "net/route.h"

#include <variant>

namespace flamingotally
{

/** Longest time that a caller may ask to wait for the end of a job. */
constexpr Milliseconds maxWaitForEnd{60'000};

/** An action, or why the request makes none. */
using ActionResult = std::variant<CallerAction, HttpError>;

/**
 * Reads the action that a request asks for.
 * @param match Its route, one that admission judges, or that of a job that is waited for.
 * @param request The request.
 */
ActionResult toAction(const RouteMatch &match, const HttpRequest &request);

/** The error of a malformed request. */
HttpError malformedRequest(std::string detail);

/**
 * Reads a whole number from the query.
 * @param request The request.
 * @param name Name of the parameter.
 * @param max Greatest value.
 * @param fallback Value when the parameter is missing.
 * @return The number, or nothing when it is malformed or too great.
 */
std::optional<std::uint64_t>
queryNumber(const HttpRequest &request, std::string_view name, std::uint64_t max, std::uint64_t fallback);

} // namespace flamingotally
