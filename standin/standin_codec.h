/** @file standin_codec.h Encodings of the stand-in's own requests and answers. */
#pragma once

#include "net/http_type.h"
#include "standin_base.h"

#include <absl/status/statusor.h>

namespace flamingotally::standin
{

/** Reads a change of faults: fields of the platform and, beside "host", of one host. The rest stays as it is. */
absl::StatusOr<FaultRequest> parseFaults(const Standin &standin, std::string_view body);

/** Reads the query of a read of the log. */
absl::StatusOr<ReadRequest> parseRead(const HttpRequest &request);

/** Makes the response to a request. */
HttpResponse toHttpResponse(const Standin &standin, const ResponseBody &response);

} // namespace flamingotally::standin
