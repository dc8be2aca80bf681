/** @file standin_codec.h Encodings of the stand-in's own requests and responses. */
#pragma once

#include "net/http_type.h"
#include "standin_base.h"

#include <absl/status/statusor.h>

namespace flamingotally::standin
{

/**
 * Parses a change of faults. A fault that is not named in the body keeps its current value.
 * @param body JSON object with faults of the platform and, when its field "host" names a host, faults of that host.
 * @return The request, or an error when a field is unknown or malformed.
 */
absl::StatusOr<FaultRequest> parseFaults(const Standin &standin, std::string_view body);

/**
 * Parses the query parameters of a log read: "from", "waitMs" and "maxBytes".
 * @return The request, or an error when a parameter is not a whole number.
 */
absl::StatusOr<ReadRequest> parseRead(const HttpRequest &request);

/** Encodes a response of the systems as an HTTP response. */
HttpResponse toHttpResponse(const Standin &standin, const ResponseBody &response);

} // namespace flamingotally::standin
