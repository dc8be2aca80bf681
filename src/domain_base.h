/** @file domain_base.h Table of failure domains. */
#pragma once

#include "core/time_type.h"
#include "domain_type.h"

#include <string>

namespace flamingotally
{

/** Name of a failure domain. */
struct DomainIdentity {
    std::string name; ///< Unique name, as in the settings of its daemons and in the host list.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name);
    }
};

/** Service state of a failure domain, set by operators. */
struct DomainState {
    DomainService service = DomainService::In;
    std::uint64_t version = 1; ///< Increases with every change by an operator.
    LogTime changedAt{}; ///< Time of the last change.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(service, version, changedAt);
    }
};

using DomainTable = Table<DomainTag, DomainIdentity, DomainState>;

} // namespace flamingotally
