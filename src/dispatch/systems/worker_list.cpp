#include "dispatch/crash_func.h"
#include "dispatch/entry_func.h"
#include "dispatch/region_link.h"
#include "dispatch/systems/systems.h"
#include "dispatch/work_func.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Inserts or updates a worker from its entry in the list. */
void applyListing(Entry &entry, const WorkerListing &listing, const TickTime &time)
{
    const auto worker = workerOf(entry, listing.id);
    auto &identity = entry.workers.table.get<WorkerIdentity>(worker);
    auto &health = entry.workers.table.get<WorkerHealth>(worker);
    auto &link = entry.workers.table.get<WorkerLink>(worker);
    identity.address = listing.address;
    identity.pool = listing.pool;
    if (identity.domain != listing.domain) {
        identity.domain = listing.domain;
        identity.region = regionIndexOf(entry, listing.domain);
    }
    identity.rack = listing.rack;
    identity.labels = listing.labels;
    identity.capacity = listing.capacity;
    if (!health.listed) {
        link.pollAt = std::min(link.pollAt, time.now);
    }
    health.listed = true;
    if (listing.draining && !health.draining) {
        health.earliestRemovalAt = time.now + listing.remaining;
    }
    health.draining = listing.draining;
    entry.work.passRequested = true;
}

/**
 * Marks a worker as no longer listed, so that it gets no more tasks. Its runs end by its reports or by lease expiry.
 */
void unlist(Entry &entry, WorkerRef worker)
{
    entry.workers.table.get<WorkerHealth>(worker).listed = false;
}

/** Logs, once, that an entry cannot be used. */
void logMalformed(Entry &entry, const WorkerListing &listing)
{
    constexpr std::size_t maxRemembered = 10'000; // nothing is logged of further ones
    auto &malformed = entry.workers.malformed;
    if (malformed.size() < maxRemembered && malformed.insert(listing.id).second) {
        logEvent(entry,
                 EventKind::WorkerMalformed,
                 0,
                 "key={:?} expected=\"{}\"",
                 std::string_view(listing.id),
                 listing.expected);
    }
}

/** Applies one change of the list. A worker whose entry was removed or cannot be used gets no more tasks. */
void applyChange(Entry &entry, const WorkerListing &listing, const TickTime &time)
{
    if (!listing.expected.empty()) {
        logMalformed(entry, listing);
    } else {
        entry.workers.malformed.erase(listing.id);
    }
    if (!listing.removed) {
        applyListing(entry, listing, time);
    } else if (const auto it = entry.workers.byId.find(listing.id); it != entry.workers.byId.end()) {
        unlist(entry, it->second);
    }
}

/** Marks all workers as no longer listed that a complete list does not contain. */
void unlistMissing(Entry &entry, const WorkerListRead &read)
{
    absl::flat_hash_set<std::string_view> present;
    for (const auto &it : read.changes) {
        present.insert(it.id);
    }
    entry.workers.table.forEach([&](WorkerRef worker) {
        if (!present.contains(entry.workers.table.get<WorkerIdentity>(worker).id)) {
            unlist(entry, worker);
        }
    });
}

/** Removes the workers that are not listed, have no runs and no run ends to be stored, and need no crash check. */
void eraseUnlisted(Entry &entry, const TickTime &time)
{
    entry.workers.table.forEach([&](WorkerRef worker) {
        const bool isNeeded = entry.workers.table.get<WorkerHealth>(worker).listed
            || !entry.workers.table.get<WorkerLoad>(worker).runs.empty()
            || !entry.workers.table.get<WorkerLink>(worker).pendingEnds.empty() || mayHaveCrashed(entry, worker, time);
        if (!isNeeded) {
            entry.workers.byId.erase(entry.workers.table.get<WorkerIdentity>(worker).id);
            entry.workers.table.erase(worker);
        }
    });
}

} // namespace

void workerListSystem(Entry &entry, const TickTime &time)
{
    if (!entry.isOwner() || entry.inbox.workerLists.empty()) {
        return;
    }
    for (const auto &read : entry.inbox.workerLists) {
        entry.workers.asOf = std::max(entry.workers.asOf, read.sentAt);
        if (read.isSnapshot) {
            unlistMissing(entry, read);
        }
        for (const auto &listing : read.changes) {
            applyChange(entry, listing, time);
        }
    }
    eraseUnlisted(entry, time);
}

} // namespace flamingotally::dispatch
