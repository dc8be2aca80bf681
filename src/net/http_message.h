/**
 * @file http_message.h Conversions between the HTTP types of the project and Beast's messages. For the sources of net/
 * only.
 */
#pragma once

#include "net/http_type.h"

#include <boost/beast/http.hpp>

#include <optional>

namespace flamingotally
{

namespace http = boost::beast::http;

/** Converts a received request; nullopt if its target is malformed. */
std::optional<HttpRequest> toRequest(http::request<http::string_body> message);

/** Converts a response that is to be sent. */
http::response<http::string_body> toMessage(HttpResponse response, unsigned version, bool keepAlive);

/** Converts a call that is to be sent, and moves its body away. Throws if it cannot be sent, such as a malformed field.
 */
http::request<http::string_body> toMessage(HttpCall &call);

/** Converts a received response. */
HttpResponse toResponse(http::response<http::string_body> message);

} // namespace flamingotally
