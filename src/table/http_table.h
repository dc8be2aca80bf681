/** @file http_table.h Names of the HTTP methods; names and limits of the channels of calls. */
#pragma once

#include "core/enum_table.h"
#include "net/http_type.h"

namespace flamingotally
{

constexpr EnumTable<HttpMethod> httpMethodTable{{
    {HttpMethod::Get, "GET"},
    {HttpMethod::Post, "POST"},
    {HttpMethod::Put, "PUT"},
    {HttpMethod::Delete, "DELETE"},
    {HttpMethod::Other, "OTHER"},
}};
static_assert(isComplete(httpMethodTable));

/** Name and limit of a channel. */
struct HttpChannelRow {
    HttpChannel value;
    std::string_view name;
    std::size_t maxPerAddress; ///< Connections that a client may have open to one address, in use and idle.
};

constexpr EnumTable<HttpChannel, HttpChannelRow> httpChannelTable{{
    {HttpChannel::General, "general", 256},
    {HttpChannel::Polls, "polls", 1},
    {HttpChannel::Orders, "orders", 1},
}};
static_assert(isComplete(httpChannelTable));

} // namespace flamingotally
