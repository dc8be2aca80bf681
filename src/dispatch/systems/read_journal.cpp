#include "dispatch/compaction_func.h"
#include "dispatch/entry_func.h"
#include "dispatch/policy/owner_silence.h"
#include "dispatch/region_func.h"
#include "dispatch/systems/apply_record.h"
#include "dispatch/systems/region_read.h"
#include "dispatch/systems/systems.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

constexpr Milliseconds retryPause{100}; ///< Pause after a failed read.
/** A read without records that exceeds its wait by more than this makes the store count as slow. */
constexpr Milliseconds slowResponse{120};
constexpr Milliseconds pauseThreshold{1'000}; ///< A longer gap between two ticks means that the process was paused.

/** Applies the records of a successful read. Returns true if this daemon's own claim is among them. */
bool applyRecords(Entry &entry, const JournalRead &read, const TickTime &time)
{
    bool becomesOwner = false;
    for (const auto &it : read.entries) {
        if (!it.record) {
            continue;
        }
        const bool isIncremental = !read.isSnapshot && !read.daemonsOnly;
        becomesOwner = applyRecord(entry, *it.record, it.offset, isIncremental, time) || becomesOwner;
    }
    return becomesOwner;
}

/** Updates the times that say how new the view is, after a read that was applied. */
void updateAge(Entry &entry, const JournalRead &read, const TickTime &time)
{
    auto &view = entry.journal;
    entry.counters.observe(LatencyKind::Read, time.now - read.sentAt);
    if (read.source == JournalSource::Reader) {
        updateAgeFromReader(entry, read, time);
        return;
    }
    const bool isSlow = read.load == 0 && read.entries.empty() && time.now - read.sentAt > view.readWait + slowResponse;
    if (isSlow) {
        view.slowUntil = time.now + slowStorePeriod;
    }
    if (read.complete) {
        view.asOf = std::max(view.asOf, read.sentAt);
        view.region.applied = JournalSource::Store;
    }
    view.readAt = time.now;
}

/** Applies the records of a successful read and updates the view of the journal. */
void applyRead(Entry &entry, JournalRead &read, const TickTime &time)
{
    auto &view = entry.journal;
    if (!view.loaded && !read.isSnapshot) {
        if (read.daemonsOnly) {
            applyRecords(entry, read, time);
        }
        finishLoadStage(entry, read, time);
        return;
    }
    const bool becomesOwner = applyRecords(entry, read, time);
    keepRaw(entry, read);
    view.nextOffset = std::max(view.nextOffset, read.nextOffset);
    if (read.isSnapshot) {
        view.loaded = true;
        view.nextOffset = read.nextOffset;
        removeCompactJobsWithoutEnd(entry.jobs);
        ++entry.counters.journalLoads[static_cast<std::size_t>(read.source)];
        keepFailedReaders(view.region, time);
    }
    ++entry.counters.journalReads[static_cast<std::size_t>(read.source)];
    view.region.reachedEnd = read.complete;
    updateAge(entry, read, time);
    if (view.failures > 0) {
        logEvent(entry, EventKind::StoreRegained, 0, "offset={} failures={}", view.nextOffset, view.failures);
    }
    view.failures = 0;
    if (view.readingSince == MonotonicTime{}) {
        view.readingSince = time.now;
    }
    if (becomesOwner) {
        becomeOwner(entry, time);
    }
}

/** Handles a failed read. If the store no longer retains the requested offset, all keys are loaded anew. */
void handleReadFailure(Entry &entry, const JournalRead &read, const TickTime &time)
{
    auto &view = entry.journal;
    if (view.failures++ == 0) {
        logEvent(entry, EventKind::StoreLost, 0, "offset={} expired={}", view.nextOffset, read.expired);
    }
    view.readingSince = {};
    view.nextReadAt = time.now + retryPause;
    if (view.loaded && read.expired) {
        view.loaded = false;
        view.region.loadingSince = time.now;
    }
}

/** Returns how long after a read that was applied the next one is sent. */
Milliseconds readPause(const Entry &entry, const JournalRead &read)
{
    if (!read.complete || !entry.journal.loaded) {
        return Milliseconds::zero();
    }
    if (read.source == JournalSource::Reader) {
        return sharedReadPause;
    }
    return entry.isOwner() ? entry.settings.ownerReadPause : entry.settings.followerReadPause;
}

/** Takes in the response to the newest read; others come from reads that were given up. */
void handleRead(Entry &entry, JournalRead &read, const TickTime &time)
{
    auto &view = entry.journal;
    if (read.number != view.readNumber) {
        return;
    }
    if (!read.isLastPage) {
        applyRecords(entry, read, time);
        return;
    }
    view.readInFlight = false;
    measureStore(view.region, read);
    if (read.failed && read.source == JournalSource::Reader) {
        handleReaderFailure(entry, read, time);
    } else if (read.failed) {
        handleReadFailure(entry, read, time);
        finishMeasuring(view.region);
    } else {
        applyRead(entry, read, time);
        view.nextReadAt = time.now + readPause(entry, read);
    }
}

/**
 * Begins a load page by page if this daemon starts. Nobody uses its tables then, so that they may be incomplete until
 * the last page has arrived.
 * @return Number of the load; zero if the records are to be applied together.
 */
std::uint64_t beginLoad(Entry &entry)
{
    const bool isStarting = entry.phase == EntryPhase::CatchingUp && entry.ownership.phase == OwnerPhase::Follower;
    if (entry.journal.loaded || !isStarting) {
        return 0;
    }
    entry.jobs = {}; // of an earlier load that has failed
    return ++entry.journalLoads;
}

/** Sends the next read. @param isReadRequested A call needs a view as of now. */
void sendRead(Entry &entry, const SourceChoice &choice, bool isReadRequested, const TickTime &time)
{
    auto &view = entry.journal;
    const auto wait = view.failures > 0 || isReadRequested ? Milliseconds::zero() : entry.settings.journalReadWait;
    view.readInFlight = true;
    view.readRequested = false;
    view.readWait = wait;
    view.readSentAt = time.now;
    JournalReadRequest request{!view.loaded, view.nextOffset, wait};
    request.number = ++view.readNumber;
    request.load = beginLoad(entry);
    if (hasSeveralRegions(entry.settings)) {
        completeRequest(entry, choice, request);
        recordSource(entry, choice);
    }
    entry.outbox.readJournal = std::move(request);
}

} // namespace

void readJournalSystem(Entry &entry, const TickTime &time)
{
    auto &view = entry.journal;
    if (entry.tickedAt != MonotonicTime{} && time.now - entry.tickedAt > pauseThreshold) {
        view.readingSince = {};
    }
    for (auto &read : entry.inbox.journalReads) {
        handleRead(entry, read, time);
    }
    const auto choice = nextSource(entry, time);
    const bool isReadRequested = view.readRequested && view.failures == 0;
    if (view.readInFlight && !isReplaceable(view, choice, isReadRequested)) {
        return;
    }
    if (!view.readInFlight && time.now < view.nextReadAt && !isReadRequested) {
        entry.wakeBy(view.nextReadAt);
        return;
    }
    sendRead(entry, choice, isReadRequested, time);
}

} // namespace flamingotally::dispatch
