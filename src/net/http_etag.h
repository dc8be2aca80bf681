/** @file http_etag.h Conditional requests: a body that the client already has is not sent again. */
#pragma once

#include "net/http_type.h"

namespace flamingotally
{

constexpr unsigned notModifiedStatus = 304;

/**
 * Wraps a responder so that a response with status 200 gets the entity tag of its body, and becomes "304 Not Modified"
 * without a body if the request has the same tag.
 * @param request The request, whose field "If-None-Match" has the entity tag of the body that the client already has.
 * @param responder Called with the response.
 */
HttpResponder withEntityTag(const HttpRequest &request, HttpResponder responder);

} // namespace flamingotally
