/** @file http_limit_type.h Limits that callers of an HTTP server can reach, and how often they did. */
#pragma once

#include "core/enum_table.h"

#include <array>
#include <cstdint>

namespace flamingotally
{

/** Limit because of which a connection was closed or a request was refused. Names: table/http_limit_table.h. */
enum class HttpLimit : std::uint8_t {
    Memory, ///< Bytes that the process holds for requests and responses.
    Connections, ///< Connections of a server, or descriptors of the process.
    HeaderSize,
    BodySize,
    TrailerSize,
    ChunkExtensionSize,
    RequestTime, ///< Time from the first to the last byte of a request.
    WriteTime, ///< Time for sending a response.
    JobSize, ///< Memory for decoded jobs whose calls are not answered.
    End,
};

/** What was done because of one limit. */
struct HttpLimitCount {
    std::uint64_t closed = 0; ///< Connections that were closed without a response, idle ones included.
    std::uint64_t refused = 0; ///< Requests that were refused; none of them was passed to its handler.

    friend bool operator==(const HttpLimitCount &, const HttpLimitCount &) = default;
};

/** Counts since the start of the process, by HttpLimit. */
using HttpLimitCounts = std::array<HttpLimitCount, enumSize<HttpLimit>>;

} // namespace flamingotally
