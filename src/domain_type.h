/** @file domain_type.h Failure domains: references and states. */
#pragma once

#include "core/table.h"

namespace flamingotally
{

struct DomainTag;
using DomainRef = Ref<DomainTag>;

/** Service state of a failure domain, set by operators. */
enum class DomainService : std::uint8_t {
    In, ///< Tasks may be placed on workers of the domain.
    Out, ///< No task is placed in the domain, and tasks that can move are drained.
    End,
};

} // namespace flamingotally
