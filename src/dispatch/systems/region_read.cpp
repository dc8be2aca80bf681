#include "dispatch/systems/region_read.h"

#include "dispatch/policy/journal_source.h"
#include "dispatch/table/dispatch_table.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Time for the response of the region's reader beyond the wait of the request: some late ticks of a small host. */
constexpr Milliseconds readerMargin{400};
/** The same for a snapshot, which the reader encodes first. */
constexpr Milliseconds snapshotMargin{1'500};
/** While loading: a reader without a response for so long is passed over. Daemons that start together need a moment. */
constexpr Milliseconds unansweredLimit{1'500};
constexpr Milliseconds loadRetryPause{100}; ///< While loading: pause after the reader has refused a request.

/** Handles a failed read of a daemon that has not loaded the journal yet. */
void handleLoadFailure(Entry &entry, const JournalRead &read, const TickTime &time)
{
    auto &region = entry.journal.region;
    if (read.shareResult == ShareResult::TooLarge) {
        region.avoidReaderUntil = time.now + storePeriod;
        return;
    }
    entry.journal.nextReadAt = time.now + loadRetryPause;
    if (read.shareResult != ShareResult::NoResponse) {
        region.unansweredSince = {};
        return;
    }
    if (region.unansweredSince == MonotonicTime{}) {
        region.unansweredSince = read.sentAt;
    }
    if (time.now - region.unansweredSince >= unansweredLimit) {
        region.failedReaders[region.sent.reader] = time.now;
        region.unansweredSince = {};
    }
}

} // namespace

SourceChoice nextSource(Entry &entry, const TickTime &time)
{
    if (!hasSeveralRegions(entry.settings)) {
        return {};
    }
    auto choice = chooseSource(entry, time);
    const auto &view = entry.journal;
    if (!view.loaded && view.region.stage != LoadStage::Records) {
        return {JournalSource::Store, choice.cause, {}, {}};
    }
    if (choice.source == JournalSource::Reader && view.loaded) {
        entry.wakeBy(ownerSilentAt(entry, time)); // the read in flight is then replaced by one of the store
    }
    return choice;
}

bool isReplaceable(const JournalView &view, const SourceChoice &choice, bool isReadRequested)
{
    const auto &sent = view.region.sent;
    if (sent.source != JournalSource::Reader) {
        return false;
    }
    const bool hasChanged = choice.source != sent.source || choice.reader != sent.reader;
    return hasChanged || (isReadRequested && view.loaded && view.readWait > Milliseconds::zero());
}

void completeRequest(const Entry &entry, const SourceChoice &choice, JournalReadRequest &request)
{
    const auto &view = entry.journal;
    if (!view.loaded && view.region.stage == LoadStage::Daemons) {
        request.daemonsOnly = true;
        request.isSnapshot = false;
        return;
    }
    if (!view.loaded && view.region.stage == LoadStage::Measure) {
        request.isSnapshot = false;
        request.wait = Milliseconds::zero();
        return;
    }
    if (choice.source == JournalSource::Reader) {
        request.reader = choice.address;
        request.wait = request.isSnapshot ? entry.settings.journalReadWait : request.wait;
        request.timeout = request.wait + (request.isSnapshot ? snapshotMargin : readerMargin);
        return;
    }
    request.keepsRaw = choice.cause == SourceCause::IsReader;
}

void recordSource(Entry &entry, const SourceChoice &choice)
{
    auto &sent = entry.journal.region.sent;
    const bool becomesReader = choice.cause == SourceCause::IsReader && sent.cause != SourceCause::IsReader;
    const bool hasChanged = choice.source != sent.source || choice.reader != sent.reader;
    if (hasChanged || becomesReader) {
        entry.counters.sourceChanges += hasChanged ? 1 : 0;
        logEvent(entry,
                 EventKind::JournalSourceChanged,
                 0,
                 "source={} cause={} reader={} offset={} journal_age_ms={}",
                 nameOf(journalSourceTable, choice.source),
                 nameOf(sourceCauseTable, choice.cause),
                 choice.cause == SourceCause::IsReader ? entry.settings.name : choice.reader,
                 entry.journal.nextOffset,
                 (entry.journal.readSentAt - entry.journal.asOf).count());
    }
    sent = choice;
}

void measureStore(RegionView &region, const JournalRead &read)
{
    if (read.source == JournalSource::Store && !read.failed) {
        region.fastestRead = std::min(region.fastestRead.value_or(read.responseTime), read.responseTime);
    }
}

void finishMeasuring(RegionView &region)
{
    if (region.stage == LoadStage::Measure) {
        region.stage = LoadStage::Records;
    }
}

void finishLoadStage(Entry &entry, const JournalRead &read, const TickTime &time)
{
    auto &view = entry.journal;
    auto &region = view.region;
    region.loadingSince = time.now;
    view.nextOffset = std::max(view.nextOffset, read.nextOffset);
    const bool isMeasured = region.stage == LoadStage::Measure || !isStoreFar(region);
    region.stage = isMeasured ? LoadStage::Records : LoadStage::Measure;
}

void updateAgeFromReader(Entry &entry, const JournalRead &read, const TickTime &time)
{
    auto &view = entry.journal;
    auto &region = view.region;
    region.unansweredSince = {};
    if (read.complete) {
        view.asOf = std::max(view.asOf, std::min(read.sentAt - read.lag, time.now));
        region.applied = JournalSource::Reader;
    }
    if (read.complete && read.isCurrent) {
        region.currentAt = std::max(region.currentAt, read.sentAt);
        view.readRequested = false; // a call that came later asks again
    }
    view.readAt = std::max(view.readAt, view.asOf); // later records of the owner may be missing
    if (read.readerAge > maxReaderAge) {
        region.avoidReaderUntil = time.now + storePeriod;
    }
}

void handleReaderFailure(Entry &entry, const JournalRead &read, const TickTime &time)
{
    auto &view = entry.journal;
    view.nextReadAt = time.now;
    if (!view.loaded) {
        handleLoadFailure(entry, read, time);
        return;
    }
    view.region.avoidReaderUntil = time.now + storePeriod;
    if (read.shareResult == ShareResult::NoResponse) {
        view.region.failedReaders[view.region.sent.reader] = time.now;
    }
}

void keepFailedReaders(RegionView &region, const TickTime &time)
{
    for (auto &[name, at] : region.failedReaders) {
        at = time.now;
    }
}

void keepRaw(Entry &entry, JournalRead &read)
{
    auto &ring = entry.share.ring;
    if (!read.hasRaw) {
        if (ring.isActive()) {
            ring.stop();
        }
        return;
    }
    if (read.isSnapshot) {
        ring.start(read.nextOffset);
        return;
    }
    if (!ring.isActive()) {
        ring.start(entry.journal.nextOffset);
    }
    for (auto &it : read.raw) {
        ring.add(std::move(it));
    }
    if (ring.end() != read.nextOffset) {
        ring.start(read.nextOffset);
    }
}

} // namespace flamingotally::dispatch
