/** @file http_etag.h Conditional requests: a body that the other side already has is not sent again. */
#pragma once

#include "net/http_type.h"

namespace flamingotally
{

constexpr unsigned notModifiedStatus = 304;

/**
 * Wraps a responder so that its response bears the entity tag of its body, and is cut to "304 Not Modified" when the
 * request names the same tag.
 * @param request The request, for its "If-None-Match".
 * @param responder Where the response goes.
 */
HttpResponder withEntityTag(const HttpRequest &request, HttpResponder responder);

} // namespace flamingotally
