/** @file http_type.h Requests and responses of HTTP as the server and the client hand them over. */
#pragma once

#include "core/time_type.h"
#include "step_type.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingotally
{

/** Method of a request. */
enum class HttpMethod : std::uint8_t {
    Get,
    Post,
    Put,
    Delete,
    Other, ///< Any other; no path takes it.
    End,
};

/** A header field or a parameter of the query. */
struct HttpField {
    std::string name;
    std::string value;
};

/** Value of the first field of a name; empty when there is none. Upper and lower case are the same. */
std::string_view fieldValue(const std::vector<HttpField> &fields, std::string_view name);

/** A request as it arrived. */
struct HttpRequest {
    HttpMethod method = HttpMethod::Get;
    std::string path{}; ///< Without the query, decoded.
    std::vector<HttpField> query{}; ///< Decoded, in order.
    std::vector<HttpField> fields{}; ///< Header fields.
    std::string bearer{}; ///< The key of "Authorization: Bearer"; empty when there is none.
    std::string idempotencyKey{}; ///< Value of "Idempotency-Key"; empty when there is none.
    std::string body{};
};

/** Status of a response that is not sent: the connection is closed in its place. For stand-ins that play faults. */
constexpr unsigned noResponseStatus = 0;

/** An answer, sent or received. The server adds the length and the fields on the connection itself. */
struct HttpResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::vector<HttpField> fields{}; ///< Further header fields.
    std::string body{};
};

/** Answers one request, at once or later, exactly once. Does nothing when the caller has gone. */
using HttpResponder = std::function<void(HttpResponse)>;

/** Takes requests in. Runs on the thread of the server's io_context and must not wait. */
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/** A request to another process. */
struct HttpCall {
    std::string address{}; ///< "IP:port".
    HttpMethod method = HttpMethod::Get;
    std::string target{}; ///< Path and query, encoded.
    std::vector<HttpField> fields{}; ///< Header fields.
    std::string contentType = "application/json"; ///< Of the body, when there is one.
    std::string body{};
    Milliseconds timeout{2'000}; ///< For all of connecting, sending and receiving.
    std::size_t maxResponseBytes = 4 * 1024 * 1024;
    Step step = Step::Sync; ///< Step that an error will bear.
};

/**
 * Result of a call: an answer of whatever status, or an error with step and peer. kUnavailable says that nothing was
 * sent; any other code that the other side may have acted.
 */
using HttpResult = absl::StatusOr<HttpResponse>;

using HttpCallback = std::function<void(HttpResult)>;

/** Tells whether a failed call is known not to have reached the other side. */
inline bool wasNeverSent(const absl::Status &status)
{
    return status.code() == absl::StatusCode::kUnavailable;
}

} // namespace flamingotally
