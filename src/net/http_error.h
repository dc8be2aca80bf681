/** @file http_error.h Converts typed errors into JSON responses. */
#pragma once

#include "net/http_type.h"
#include "reason_type.h"

namespace flamingotally
{

/** Content of an error response. */
struct HttpError {
    Reason reason = Reason::MalformedRequest; ///< Selects name, status and text from reasonTable.
    Step step = Step::ParseRequest; ///< Processing step at which the error occurred.
    std::string peer{}; ///< Process at which the error occurred; empty for this process.
    std::string detail{}; ///< Replaces the text of reasonTable unless empty.
    Milliseconds retryAfter{0}; ///< Zero if a retry is not advised.
    unsigned status = 0; ///< Replaces the status of reasonTable unless zero.
    std::string id{}; ///< Id with which the caller can query the job; empty if there is no job.
};

/** Makes the response `{"error":{"reason","step","peer","text","retryAfterMs","id"}}`; an empty id is left out. */
HttpResponse makeErrorResponse(const HttpError &error);

} // namespace flamingotally
