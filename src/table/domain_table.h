/** @file domain_table.h Names of the service states of failure domains. */
#pragma once

#include "core/enum_table.h"
#include "domain_type.h"

namespace flamingotally
{

constexpr EnumTable<DomainService> domainServiceTable{{
    {DomainService::In, "in"},
    {DomainService::Out, "out"},
}};
static_assert(isComplete(domainServiceTable));

} // namespace flamingotally
