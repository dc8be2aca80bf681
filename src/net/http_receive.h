/** @file http_receive.h Receives one request on a connection, within bounds. For the sources of net/ only. */
#pragma once

#include "net/http_budget.h"
#include "net/http_error.h"
#include "net/http_server.h"
#include "net/http_server_connection.h"

#include <string_view>

namespace flamingotally
{

using RequestParser = http::request_parser<http::string_body>;

/** Outcome of receiving a request; neither member is set if it is complete. */
struct ReceiveResult {
    error_code ec{};
    std::optional<HttpLimit> limit{}; ///< Limit that the request exceeds.
};

/** Returns the size of a receive buffer in which every header, trailer and chunk extension within the limits fits. */
std::size_t maxBufferBytes(const HttpServerSettings &settings);

/**
 * Returns the limit that an incomplete part of a chunked body exceeds, if any.
 * @param pending Received bytes that the parser could not use yet: the line of a chunk with its extension, or the line
 * of the last chunk with the trailers after it.
 */
std::optional<HttpLimit> exceededLimit(std::string_view pending, const HttpServerSettings &settings);

/**
 * Receives one request; sends "100 Continue" before the body if the client expects it. Charges the budget for what it
 * holds, and returns when the connection is closed to make room.
 */
awaitable<ReceiveResult>
receiveRequest(Connection &connection, RequestParser &parser, const HttpServerSettings &settings, HttpBudget &budget);

/** Returns the bytes that a complete request takes until its response is sent. */
std::size_t requestBytes(const RequestParser &parser);

/** Makes the error for a request that could not be received. */
HttpError receiveError(const ReceiveResult &result, bool isTimedOut);

} // namespace flamingotally
