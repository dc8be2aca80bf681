#include "dispatch/entry_func.h"
#include "dispatch/policy/journal_source.h"
#include "dispatch/systems/systems.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Further requests are answered at once. Daemons have one request each, so there are never more in a sound cell. */
constexpr std::size_t maxWaiting = 512;
/** Time between two snapshots, so that few of them take up memory at the same time while they are sent. */
constexpr Milliseconds snapshotPause{20};
/** Size of the records in a response; the next one continues. */
constexpr std::size_t maxResponseBytes = std::size_t{256} * 1024;
/** After this time a request for a current view is answered as it is: its callers are, too. */
constexpr Milliseconds currentViewLimit{100};

/** Returns true if no records are known to be missing in this daemon's view that were stored before a time. */
bool isCurrentAt(const Entry &entry, MonotonicTime at, const TickTime &time)
{
    return entry.journal.asOf >= at || isStoreWaiting(entry, at, time);
}

/** Makes this daemon read the store for a request for a current view, unless such a read is in flight. */
void requestRead(Entry &entry, const PeerRead &read, const TickTime &time)
{
    auto &view = entry.journal;
    if (const auto shownAt = storeWaitShownAt(view, read.arrivedAt); !view.readInFlight || shownAt > time.now) {
        entry.wakeBy(view.readInFlight ? shownAt : time.now); // else the response to the read wakes this daemon
    }
    view.readRequested = view.readRequested || !view.readInFlight || view.readSentAt < read.arrivedAt;
}

/** Returns the result of a request for a snapshot; unset while it waits. */
std::optional<ShareResult> snapshotResult(Entry &entry, const PeerRead &read, const TickTime &time)
{
    const auto &view = entry.journal;
    const bool isUsable = view.loaded && time.now - view.asOf <= maxReaderAge;
    const auto nextAt = entry.share.snapshotSentAt + snapshotPause;
    if (isUsable && time.now >= nextAt) {
        entry.share.snapshotSentAt = time.now;
        return ShareResult::Snapshot;
    }
    if (isUsable) {
        entry.wakeBy(nextAt);
    }
    return time.now >= read.arrivedAt + read.request.wait ? std::optional(ShareResult::NotLoaded) : std::nullopt;
}

/** Returns the result of a request for records that the ring buffer holds; unset while it waits. */
std::optional<ShareResult> recordsResult(Entry &entry, const PeerRead &read, const TickTime &time)
{
    const auto end = entry.share.ring.end();
    const bool isBehind = read.request.from > end; // usually for a moment: the other daemon has read from the store
    const bool needsCurrentView = read.request.wait <= Milliseconds::zero();
    const auto limit = needsCurrentView ? currentViewLimit : read.request.wait;
    if (time.now >= read.arrivedAt + limit) {
        return isBehind ? ShareResult::Behind : ShareResult::Records;
    }
    const bool isReady = needsCurrentView
        ? !isBehind && (isCurrentAt(entry, read.arrivedAt, time) || entry.journal.failures > 0)
        : read.request.from < end;
    if (isReady) {
        return ShareResult::Records;
    }
    if (needsCurrentView) {
        requestRead(entry, read, time);
    }
    return std::nullopt;
}

std::optional<ShareResult> resultOf(Entry &entry, const PeerRead &read, const TickTime &time)
{
    if (read.request.isSnapshot) {
        return snapshotResult(entry, read, time);
    }
    if (!entry.journal.loaded) {
        return ShareResult::NotLoaded;
    }
    return entry.share.ring.holds(read.request.from) ? recordsResult(entry, read, time) : ShareResult::NotHeld;
}

/** Sends the response to a request. */
void respond(Entry &entry, const PeerRead &read, ShareResult result, const TickTime &time)
{
    PeerReadResponse response;
    response.handle = read.handle;
    response.result = result;
    response.age = Milliseconds(time.now - entry.journal.asOf);
    response.held = std::max(Milliseconds(time.now - read.arrivedAt), Milliseconds::zero());
    response.nextOffset = entry.journal.nextOffset;
    if (result == ShareResult::Records) {
        const auto end = entry.share.ring.end();
        response.records = entry.share.ring.recordsFrom(read.request.from, maxResponseBytes);
        response.nextOffset = response.records.empty() ? read.request.from : response.records.back().offset + 1;
        response.complete = response.nextOffset >= end;
        response.isCurrent = response.complete && isCurrentAt(entry, read.arrivedAt, time);
    }
    entry.counters.sharedReads += result == ShareResult::Records || result == ShareResult::Snapshot ? 1 : 0;
    entry.outbox.peerReadResponses.push_back(std::move(response));
}

/** Takes a request in. It ends an earlier one of the same daemon, which has given that one up. */
void receive(Entry &entry, PeerRead &&read, const TickTime &time)
{
    auto &waiting = entry.share.waiting;
    const auto it =
        std::ranges::find(waiting, read.request.daemon, [](const PeerRead &earlier) { return earlier.request.daemon; });
    if (it != waiting.end()) {
        respond(entry, *it, ShareResult::Superseded, time);
        waiting.erase(it);
    }
    if (waiting.size() >= maxWaiting) {
        respond(entry, read, ShareResult::NotHeld, time);
        return;
    }
    waiting.push_back(std::move(read));
}

} // namespace

void shareJournalSystem(Entry &entry, const TickTime &time)
{
    for (auto &it : entry.inbox.peerReads) {
        receive(entry, std::move(it), time);
    }
    std::erase_if(entry.share.waiting, [&](const PeerRead &it) {
        const auto result = resultOf(entry, it, time);
        if (result) {
            respond(entry, it, *result, time);
            return true;
        }
        const bool needsCurrentView = it.request.wait <= Milliseconds::zero();
        entry.wakeBy(it.arrivedAt + (needsCurrentView ? currentViewLimit : it.request.wait));
        return false;
    });
}

} // namespace flamingotally::dispatch
