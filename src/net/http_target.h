/** @file http_target.h Path and query of a request, encoded and decoded. */
#pragma once

#include "net/http_type.h"

namespace flamingotally
{

/**
 * Decodes a target into the path and the query of a request.
 * @param target Path and query as they arrived.
 * @param request Receives both.
 * @return Whether the target was well formed.
 */
bool decodeTarget(std::string_view target, HttpRequest &request);

/** Encodes a target. */
std::string encodeTarget(std::string_view path, const std::vector<HttpField> &query);

} // namespace flamingotally
