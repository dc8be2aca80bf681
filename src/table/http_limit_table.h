/** @file http_limit_table.h Names of the limits that callers of an HTTP server can reach. */
#pragma once

#include "http_limit_type.h"

namespace flamingotally
{

constexpr EnumTable<HttpLimit> httpLimitTable{{
    {HttpLimit::Memory, "memory"},
    {HttpLimit::Connections, "connections"},
    {HttpLimit::HeaderSize, "header_size"},
    {HttpLimit::BodySize, "body_size"},
    {HttpLimit::TrailerSize, "trailer_size"},
    {HttpLimit::ChunkExtensionSize, "chunk_extension_size"},
    {HttpLimit::RequestTime, "request_time"},
    {HttpLimit::WriteTime, "write_time"},
    {HttpLimit::JobSize, "job_size"},
}};
static_assert(isComplete(httpLimitTable));

} // namespace flamingotally
