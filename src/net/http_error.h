/** @file http_error.h Typed errors as JSON answers. */
#pragma once

#include "net/http_type.h"
#include "reason_type.h"

namespace flamingotally
{

/** What an error answer says. */
struct HttpError {
    Reason reason = Reason::MalformedRequest; ///< Gives the name, the status and the text of the table.
    Step step = Step::ParseRequest; ///< Where it arose.
    std::string peer{}; ///< The other side at which it arose; empty for this process.
    std::string detail{}; ///< Replaces the text of the table when set.
    Milliseconds retryAfter{0}; ///< Zero when trying again is not advised.
    unsigned status = 0; ///< Replaces the status of the table when set.
    std::string id{}; ///< Id of the job to ask about again; empty when there is none.
};

/** Makes the answer `{"error":{"reason","step","peer","text","retryAfterMs","id"}}`, the id only when there is one. */
HttpResponse makeErrorResponse(const HttpError &error);

} // namespace flamingotally
