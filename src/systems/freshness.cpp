#include "systems/freshness.h"

#include "systems/backoff.h"
#include "systems/systems.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

constexpr std::size_t maxPendingEvidence = 32; ///< Beyond it, the second-highest head is dropped.
constexpr Milliseconds readBackoff{50};
constexpr Milliseconds maxReadBackoff{1'000};
constexpr Milliseconds fetchInterval{200}; ///< Shortest time between fetches of records from peers.
constexpr Milliseconds coalesceInterval{50}; ///< Shortest time between reads while no own batch is in flight.

/** Records a failed read and the time before which no other read is tried. */
void recordFailedRead(Node &node, const TickTime &time)
{
    auto &view = node.view;
    view.lastReadFailed = true;
    ++view.failedReads;
    view.nextReadAt = time.now + backoffPause(node.random, readBackoff, maxReadBackoff, view.failedReads);
    countRetry(node, RetryReason::ReadFailed);
}

/**
 * Processes the received reads of the log: records failures, and adds the evidence of the head. readLogSystem() has
 * already applied the records.
 */
void processLogReads(Node &node, const TickTime &time)
{
    auto &view = node.view;
    for (const auto &it : node.inbox.logReads) {
        view.reading = false;
        if (it.failed) {
            recordFailedRead(node, time);
            continue;
        }
        view.lastReadFailed = false;
        view.failedReads = 0;
        view.lastReadAt = time.now;
        view.firstRetained = it.firstRetained;
        addHeadEvidence(node, {it.head, it.requestedAt});
    }
    node.inbox.logReads.clear();
    node.inbox.peerReads.clear();
}

/** Moves pending evidence into the view once all records before its head have been applied. */
void promoteEvidence(Node &node)
{
    auto &view = node.view;
    while (!view.pending.empty() && view.pending.front().head <= node.tables.position.nextOffset) {
        view.freshAt = std::max(view.freshAt, view.pending.front().provenAt);
        view.caughtUp = true;
        view.pending.pop_front();
    }
}

/**
 * Returns true if the next read has to be delayed for a short time, and requests a tick for the end of the delay. Each
 * record wakes the long poll of every daemon, so a delay lets several records share one response. Reads are not delayed
 * while a batch of this daemon waits to be read back.
 */
bool shouldDelayRead(Node &node, const TickTime &time)
{
    const auto delayedUntil = node.view.lastReadAt + coalesceInterval;
    const bool mayDelay = node.phase == NodePhase::Serving && !node.inFlight && node.view.fresh;
    if (!mayDelay || time.now >= delayedUntil) {
        return false;
    }
    wakeBy(node, delayedUntil);
    return true;
}

void requestLogRead(Node &node, const TickTime &time)
{
    auto &view = node.view;
    if (view.reading || view.blocked || node.snapshot.phase == LoadPhase::Decoding || shouldDelayRead(node, time)) {
        return;
    }
    if (time.now < view.nextReadAt) {
        wakeBy(node, view.nextReadAt);
        return;
    }
    const bool isSeeking = node.snapshot.phase == LoadPhase::Seeking;
    node.outbox.readFrom = isSeeking ? node.snapshot.seekNext : node.tables.position.nextOffset;
    view.reading = true;
}

/** Returns the reachable peer with the highest applied offset; unset if none is ahead of this daemon. */
PeerRef mostAdvancedPeer(const Node &node, const TickTime &time)
{
    PeerRef best;
    std::uint64_t bestOffset = node.tables.position.nextOffset;
    node.peers.forEach([&](PeerRef it) {
        const auto &peer = node.peers.get<Peer>(it);
        const bool isReachable = time.now - peer.lastReceivedAt <= node.settings.peerTimeout;
        if (isReachable && peer.appliedOffset > bestOffset) {
            best = it;
            bestOffset = peer.appliedOffset;
        }
    });
    return best;
}

/** Requests the missing records from the peer with the highest applied offset while the log is unreachable. */
void requestPeerRecords(Node &node, const TickTime &time)
{
    auto &view = node.view;
    if (!isLogUnreachable(node, time) || view.blocked || node.snapshot.phase != LoadPhase::None) {
        return;
    }
    if (time.now < view.fetchRequestedAt + fetchInterval) {
        return;
    }
    const auto peer = mostAdvancedPeer(node, time);
    if (!peer.isSet()) {
        return;
    }
    const auto daemon = findRef(node.tables.lookups.daemons, node.peers.get<Peer>(peer).daemon);
    if (!daemon.isSet()) {
        return;
    }
    const auto &address = node.tables.daemons.get<DaemonIdentity>(daemon).peerAddress;
    node.outbox.recordFetches.push_back({address, node.tables.position.nextOffset});
    view.fetchRequestedAt = time.now;
    wakeBy(node, time.now + fetchInterval);
}

} // namespace

void addHeadEvidence(Node &node, const HeadEvidence &evidence)
{
    auto &view = node.view;
    view.knownHead = std::max(view.knownHead, evidence.head);
    if (evidence.provenAt > view.newest.provenAt) {
        view.newest = evidence;
    }
    const auto place = std::ranges::upper_bound(view.pending, evidence.head, {}, &HeadEvidence::head);
    view.pending.insert(place, evidence);
    promoteEvidence(node);
    if (view.pending.size() > maxPendingEvidence) {
        view.pending.erase(view.pending.end() - 2);
    }
}

void updateFreshness(Node &node, const TickTime &time)
{
    auto &view = node.view;
    promoteEvidence(node);
    view.fresh = view.caughtUp && !view.blocked && time.now - view.freshAt < node.settings.fence;
    if (view.fresh) {
        wakeBy(node, view.freshAt + node.settings.fence);
    }
}

void resetView(Node &node)
{
    auto &view = node.view;
    view.fresh = false;
    view.caughtUp = false;
    view.freshAt = {};
    view.pending.clear();
}

bool isLogUnreachable(const Node &node, const TickTime &time)
{
    const auto &view = node.view;
    return view.lastReadFailed || time.now - view.lastReadAt > node.settings.logPoll + node.settings.fence / 2;
}

void freshnessSystem(Node &node, const TickTime &time)
{
    processLogReads(node, time);
    updateFreshness(node, time);
    requestLogRead(node, time);
    requestPeerRecords(node, time);
}

} // namespace flamingotally
