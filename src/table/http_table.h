/** @file http_table.h Names of the HTTP methods. */
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

} // namespace flamingotally
