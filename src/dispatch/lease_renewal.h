/** @file lease_renewal.h Which leases of workers the owner renews, and until when. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/**
 * Returns true if a silent worker is probably alive: it is listed, and this host's own link is in doubt. Then its
 * leases are renewed, and its runs are kept, as it may still report that they are done.
 */
bool mayStillReport(const Entry &entry, WorkerRef worker, const TickTime &time);

/**
 * Returns the lease expiry to send with the next order, by the worker's clock. The expiry is moved forward only if the
 * worker's clock is known, and the last poll got a response or this host's own link is in doubt. Otherwise it stays as
 * it is, so that the runs of a lost worker are known to have ended soon.
 */
WorkerTime leaseForNextOrder(Entry &entry, WorkerRef worker, const TickTime &time);

} // namespace flamingotally::dispatch
