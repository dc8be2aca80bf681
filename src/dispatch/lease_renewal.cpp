#include "dispatch/lease_renewal.h"

#include "dispatch/entry_func.h"
#include "dispatch/lease_expiry.h"
#include "dispatch/region_link.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Returns the estimated current reading of the worker's clock. The expiry of its lease is measured on that clock. */
WorkerTime estimatedClock(const WorkerLink &link, const TickTime &time)
{
    return link.clock + (time.now - link.clockReadAt);
}

} // namespace

bool mayStillReport(const Entry &entry, WorkerRef worker, const TickTime &time)
{
    return entry.workers.table.get<WorkerHealth>(worker).listed
        && isInDoubt(entry.workers, linkOf(entry.workers, worker), time.now);
}

WorkerTime leaseForNextOrder(Entry &entry, WorkerRef worker, const TickTime &time)
{
    auto &link = entry.workers.table.get<WorkerLink>(worker);
    const bool isTrusted = link.missedPolls == 0 || mayStillReport(entry, worker, time);
    if (!isTrusted || link.clockReadAt == MonotonicTime{}) {
        return link.latestLeaseUntil;
    }
    link.latestLeaseUntil = std::max(link.latestLeaseUntil, estimatedClock(link, time) + entry.settings.lease);
    updateLeaseExpiry(link);
    return link.latestLeaseUntil;
}

} // namespace flamingotally::dispatch
