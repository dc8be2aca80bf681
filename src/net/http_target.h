/** @file http_target.h Encodes and decodes the path and query of requests. */
#pragma once

#include "net/http_type.h"

namespace flamingotally
{

/**
 * Decodes a target into the path and the query of a request.
 * @param target Encoded path and query.
 * @param request Receives the decoded path and query.
 * @return False if the target is malformed.
 */
bool decodeTarget(std::string_view target, HttpRequest &request);

/** Encodes a path and query parameters, both not yet encoded, as a target. */
std::string encodeTarget(std::string_view path, const std::vector<HttpField> &query);

} // namespace flamingotally
