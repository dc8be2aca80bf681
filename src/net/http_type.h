/** @file http_type.h Types of HTTP requests and responses that the server and the client share. */
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
    Other, ///< Any other method; no route accepts it.
    End,
};

/** A header field or a query parameter. */
struct HttpField {
    std::string name;
    std::string value;
};

/** Returns the value of the first field with the given name, ignoring case; empty if there is no such field. */
std::string_view fieldValue(const std::vector<HttpField> &fields, std::string_view name);

/** A received request. */
struct HttpRequest {
    HttpMethod method = HttpMethod::Get;
    std::string path{}; ///< Decoded path, without the query.
    std::vector<HttpField> query{}; ///< Decoded query parameters in the order of the request.
    std::vector<HttpField> fields{}; ///< Header fields.
    std::string bearer{}; ///< The key of "Authorization: Bearer"; empty without that field.
    std::string idempotencyKey{}; ///< Value of "Idempotency-Key"; empty without that field.
    std::string body{};
};

/** Status that makes the server close the connection instead of sending the response. Fakes in tests use it. */
constexpr unsigned noResponseStatus = 0;

/** A response, sent or received. The server adds the length and the connection fields. */
struct HttpResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::vector<HttpField> fields{}; ///< Further header fields.
    std::string body{};
    std::uint64_t connection = 0; ///< Of a received response: number of the connection on which it arrived.
};

/**
 * Sends the response to one request. The handler must call the responder exactly once, immediately or later. The
 * call does nothing if the client has disconnected.
 */
using HttpResponder = std::function<void(HttpResponse)>;

/** Handles a request. Runs on the thread of the server's io_context and must not block. */
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

/**
 * Channel of a call. Calls to one address share connections with those of the same channel only, and wait only for
 * them: a channel whose calls take long delays no other one. table/http_table.h has the limits.
 */
enum class HttpChannel : std::uint8_t {
    General,
    Polls, ///< Calls that the other side may answer late on purpose.
    Orders,
    End,
};

/** A request to another process. */
struct HttpCall {
    std::string address{}; ///< "IP:port".
    HttpChannel channel = HttpChannel::General;
    /**
     * If not zero, the call is sent on the connection with this number or not at all: a process on the other side that
     * has restarted meanwhile does not get it.
     */
    std::uint64_t connection = 0;
    HttpMethod method = HttpMethod::Get;
    std::string target{}; ///< Path and query, encoded.
    std::vector<HttpField> fields{}; ///< Header fields.
    std::string contentType = "application/json"; ///< Type of the body; not sent without a body.
    std::string body{};
    /** Covers waiting for a connection, connecting, sending and receiving, unless `maxReceiveTime` is set. */
    Milliseconds timeout{2'000};
    /** If not zero, `timeout` begins anew with each part of the response that arrives, for this time at most. */
    Milliseconds maxReceiveTime{0};
    std::size_t maxResponseBytes = 4 * 1024 * 1024;
    Step step = Step::Sync; ///< Processing step that an error of this call reports.
};

/**
 * Result of a call: a response of any status, or an error with step and peer. kUnavailable means that nothing was sent,
 * and so does kAborted, of a call that had to be sent on a connection that is closed. With any other code the other
 * side may have processed the request.
 */
using HttpResult = absl::StatusOr<HttpResponse>;

/** Called once with the result of a call. */
using HttpCallback = std::function<void(HttpResult)>;

/** Returns whether a failed call was not sent because the connection on which it had to be sent was closed before. */
inline bool wasConnectionClosed(const absl::Status &status)
{
    return status.code() == absl::StatusCode::kAborted;
}

/** Returns whether a failed call certainly did not reach the other side. */
inline bool wasNeverSent(const absl::Status &status)
{
    return status.code() == absl::StatusCode::kUnavailable || wasConnectionClosed(status);
}

} // namespace flamingotally
