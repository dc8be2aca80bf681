/** @file domain_type.h Failure domains: addresses and states. */
#pragma once

#include "core/table.h"

namespace flamingotally
{

struct DomainTag;
using DomainRef = Ref<DomainTag>;

/** Whether tasks may start in a failure domain. */
enum class DomainService : std::uint8_t {
    In,
    Out,
    End,
};

} // namespace flamingotally
