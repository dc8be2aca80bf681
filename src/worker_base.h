/** @file worker_base.h Tables of racks and workers. */
#pragma once

#include "core/time_type.h"
#include "domain_type.h"
#include "resources_type.h"
#include "worker_type.h"

#include <string>

namespace flamingotally
{

/** Name and failure domain of a rack. */
struct RackIdentity {
    std::string name; ///< Unique within the fleet.
    DomainRef domain; ///< Failure domain of the rack.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, domain);
    }
};

using RackTable = Table<RackTag, RackIdentity>;

/** Name, address and boot of a worker. */
struct WorkerIdentity {
    std::string name; ///< Unique name from the platform's host list.
    std::string address; ///< "IP:port" of its control endpoint.
    std::uint64_t bootId = 0; ///< Increases when the worker restarts, which ends all of its earlier attempts.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, address, bootId);
    }
};

/** Location of a worker. */
struct WorkerLocation {
    DomainRef domain;
    RackRef rack;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(domain, rack);
    }
};

/** Total capacity of a worker, and the part that its live attempts use. */
struct WorkerCapacity {
    Resources total;
    Resources used;
    std::uint32_t attempts = 0; ///< Number of live attempts.

    /** Returns the free capacity. */
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

/** Service state of a worker, and the recent outcomes of its attempts. */
struct WorkerState {
    WorkerService service = WorkerService::Live;
    LogTime changedAt{}; ///< Time of the last change of the service state.
    std::uint32_t recentEnds = 0; ///< Number of attempts that succeeded or failed; halved at limits::healthWindowEnds.
    std::uint32_t recentFailures = 0; ///< Number of those attempts that failed; halved together with recentEnds.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(service, changedAt, recentEnds, recentFailures);
    }
};

using WorkerTable = Table<WorkerTag, WorkerIdentity, WorkerLocation, WorkerCapacity, WorkerState>;

} // namespace flamingotally
