/** @file domain_base.h Table of failure domains. */
#pragma once

#include "core/time_type.h"
#include "domain_type.h"

#include <string>

namespace flamingotally
{

/** What a failure domain is called. */
struct DomainIdentity {
    std::string name; ///< Unique name, as in the settings of its hosts.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name);
    }
};

/** Whether operators have it in service. */
struct DomainState {
    DomainService service = DomainService::In;
    std::uint64_t version = 1; ///< Rises with every change by an operator.
    LogTime changedAt{}; ///< When it was last changed.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(service, version, changedAt);
    }
};

using DomainTable = Table<DomainTag, DomainIdentity, DomainState>;

} // namespace flamingotally
