/**
 * @file region_link.h The links of the owner's host to the workers of each region.
 *
 * Load: a congested link to one region. What is measured there must not delay orders to other regions, nor excuse the
 * silence of workers in them.
 */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/**
 * Returns the index in Workers::regions of the region of a failure domain, which is added if it is new. It is always
 * zero if the settings name less than two regions, or no region for the domain.
 */
std::uint32_t regionIndexOf(Entry &entry, std::string_view domain);

/** Returns the link to the region of a worker. */
inline RegionLink &linkOf(Workers &workers, WorkerRef worker)
{
    return workers.regions[workers.table.get<WorkerIdentity>(worker).region];
}

inline const RegionLink &linkOf(const Workers &workers, WorkerRef worker)
{
    return workers.regions[workers.table.get<WorkerIdentity>(worker).region];
}

/** Returns true if more orders wait than may be in flight in all regions that have listed workers. */
bool areAllBacklogged(const Workers &workers);

/**
 * Returns true if this host's own link may be why workers of a region do not respond: the link to the region was
 * congested a moment ago, or most workers of the region and of all regions are silent, among them at least half of
 * those in this host's domain.
 */
bool isInDoubt(const Workers &workers, const RegionLink &link, MonotonicTime now);

/** Counts the listed and the silent workers, in total and by region. */
void countSilence(Workers &workers, std::string_view ownDomain);

} // namespace flamingotally::dispatch
