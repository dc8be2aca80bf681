/**
 * @file journal_source.h Decides from where a daemon reads the journal. Load that it addresses: daemons of a region
 * that is far from the store, which would each read the whole journal over the link that the regions share.
 */
#pragma once

#include "dispatch/entry_func.h"
#include "dispatch/policy/owner_silence.h"
#include "dispatch/region_func.h"

#include <algorithm>
#include <optional>

namespace flamingotally::dispatch
{

/** A store with longer response times is in another region: within one, a response takes 2 to 5 ms. */
constexpr Milliseconds nearLimit{10};
/** Maximum age of a reader's view. Callers are refused and readiness is lost at 1.4 s, which leaves time to go on. */
constexpr Milliseconds maxReaderAge{1'000};
/** How long a daemon reads from the store after its reader failed. */
constexpr Milliseconds storePeriod{3'000};
/** How long a daemon that starts waits for the snapshot of the region's reader. */
constexpr Milliseconds loadLimit{4'000};

/** Returns true if the owner of the newest claim has released ownership or has restarted since. */
inline bool hasOwnerStopped(const Entry &entry)
{
    const auto &newest = entry.ownership.newest;
    if (newest.owner.empty()) {
        return true;
    }
    const auto it = entry.ownership.daemons.find(newest.owner);
    return it != entry.ownership.daemons.end() && it->second.record.incarnation > newest.incarnation;
}

/** Returns when a claim is so near that its evidence has to come from the store; in the past if the owner stopped. */
inline MonotonicTime ownerSilentAt(const Entry &entry, const TickTime &time)
{
    if (hasOwnerStopped(entry)) {
        return {};
    }
    // one read of the store that waits for records fits before the claim is due
    const bool isStoreSlow = time.now < entry.journal.slowUntil;
    const auto limit = silenceLimit(entry.settings.ownerTimeout, isStoreSlow, false) - entry.settings.journalReadWait;
    return std::max(entry.ownership.ownerWroteAt, entry.journal.readingSince) + limit;
}

/** Returns true if the store is known to be far from this daemon. */
inline bool isStoreFar(const RegionView &region)
{
    return region.fastestRead && *region.fastestRead > nearLimit;
}

/**
 * Returns when a read of a far store that is in flight shows that no records are missing which were stored before a
 * time: it would have returned with them by then.
 */
inline MonotonicTime storeWaitShownAt(const JournalView &view, MonotonicTime at)
{
    constexpr Milliseconds jitter{10}; // of the response time, over the smallest one that was seen
    return std::max(at, view.readSentAt + jitter) + view.region.fastestRead.value_or(Milliseconds::zero());
}

/**
 * Returns true if a read of the store that waits for records shows that none are missing in the view which were stored
 * before a time. A read of a far store must not have outlasted its wait, either: then it may have returned while this
 * process was paused.
 */
inline bool isStoreWaiting(const Entry &entry, MonotonicTime at, const TickTime &time)
{
    constexpr Milliseconds slack{100}; // late responses and ticks
    const auto &view = entry.journal;
    if (!view.readInFlight || view.readWait <= Milliseconds::zero()
        || view.region.sent.source != JournalSource::Store) {
        return false;
    }
    if (!hasSeveralRegions(entry.settings) || !isStoreFar(view.region)) {
        return true;
    }
    return view.region.reachedEnd && time.now >= storeWaitShownAt(view, at)
        && time.now <= view.readSentAt + view.readWait + slack;
}

/** Returns true if a daemon has sent no response as reader, and its record was not read again since. */
inline bool hasFailedAsReader(const RegionView &region, const KnownDaemon &daemon)
{
    const auto it = region.failedReaders.find(daemon.record.name);
    return it != region.failedReaders.end() && it->second >= daemon.seenAt;
}

/** Returns whether a daemon is preferred to another one as reader: the larger host, then the first by name. */
inline bool isBetterReader(const DaemonRecord &a, const DaemonRecord &b)
{
    return a.processorMilli != b.processorMilli ? a.processorMilli > b.processorMilli : a.name < b.name;
}

/** Returns the daemon that reads the journal for this daemon's region; unset if there is none. */
inline std::optional<DaemonRecord> regionReader(const Entry &entry)
{
    const auto &settings = entry.settings;
    const auto region = regionOf(settings, settings.domain);
    if (region.empty()) {
        return std::nullopt;
    }
    const auto &owner = entry.ownership.newest.owner;
    std::optional<DaemonRecord> best;
    if (owner != settings.name) {
        best = ownRecord(entry);
    }
    for (const auto &[name, daemon] : entry.ownership.daemons) {
        const bool isCandidate = daemon.isAlive && name != settings.name && name != owner
            && regionOf(settings, daemon.record.domain) == region && !hasFailedAsReader(entry.journal.region, daemon);
        if (isCandidate && (!best || isBetterReader(daemon.record, *best))) {
            best = daemon.record;
        }
    }
    return best;
}

/** Returns from where the next read of the journal is made, and why. */
inline SourceChoice chooseSource(const Entry &entry, const TickTime &time)
{
    const auto fromStore = [](SourceCause cause) {
        return SourceChoice{JournalSource::Store, cause, {}, {}};
    };
    const auto &view = entry.journal;
    if (!hasSeveralRegions(entry.settings)) {
        return fromStore(SourceCause::OneRegion);
    }
    if (entry.ownership.phase != OwnerPhase::Follower) {
        return fromStore(SourceCause::Deciding);
    }
    if (!isStoreFar(view.region)) {
        return fromStore(SourceCause::Near);
    }
    const auto reader = regionReader(entry);
    if (reader && reader->name == entry.settings.name) {
        return fromStore(SourceCause::IsReader);
    }
    if (!reader) {
        return fromStore(SourceCause::NoReader);
    }
    if (time.now < view.region.avoidReaderUntil) {
        return fromStore(SourceCause::ReaderAvoided);
    }
    if (!view.loaded && time.now >= view.region.loadingSince + loadLimit) {
        return fromStore(SourceCause::LoadOverdue);
    }
    if (view.loaded && time.now >= ownerSilentAt(entry, time)) {
        return fromStore(SourceCause::OwnerSilent);
    }
    return {JournalSource::Reader, SourceCause::Far, reader->name, reader->peerAddress};
}

} // namespace flamingotally::dispatch
