/** @file worker_base.h Tables of racks and workers. */
#pragma once

#include "core/time_type.h"
#include "domain_type.h"
#include "resources_type.h"
#include "worker_type.h"

#include <string>

namespace flamingotally
{

/** What a rack is called and where it stands. */
struct RackIdentity {
    std::string name; ///< Unique within the fleet.
    DomainRef domain; ///< Failure domain it stands in.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, domain);
    }
};

using RackTable = Table<RackTag, RackIdentity>;

/** What a worker is called and where it is reached. */
struct WorkerIdentity {
    std::string name; ///< Unique name from the platform's host list.
    std::string address; ///< "IP:port" of its control endpoint.
    std::uint64_t bootId = 0; ///< Rises when the worker restarts; all its earlier attempts are dead then.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, address, bootId);
    }
};

/** Where a worker stands. */
struct WorkerLocation {
    DomainRef domain;
    RackRef rack;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(domain, rack);
    }
};

/** What a worker has and how much of it is taken by live attempts. */
struct WorkerCapacity {
    Resources total;
    Resources used;
    std::uint32_t attempts = 0; ///< Live attempts.

    Resources free() const
    {
        return total - used;
    }

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(total, used, attempts);
    }
};

/** Whether a worker takes tasks, and how its attempts fared. */
struct WorkerState {
    WorkerService service = WorkerService::Live;
    LogTime changedAt{}; ///< When the service state last changed.
    std::uint32_t recentEnds = 0; ///< Attempts ended, halved now and then.
    std::uint32_t recentFailures = 0; ///< Attempts failed, halved along.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(service, changedAt, recentEnds, recentFailures);
    }
};

using WorkerTable = Table<WorkerTag, WorkerIdentity, WorkerLocation, WorkerCapacity, WorkerState>;

} // namespace flamingotally
