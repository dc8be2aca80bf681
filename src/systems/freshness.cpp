#include "systems/freshness.h"

#include "systems/backoff.h"
#include "systems/systems.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

constexpr std::size_t maxPendingEvidence = 32;
constexpr Milliseconds readBackoff{50};
constexpr Milliseconds longestReadBackoff{1'000};
constexpr Milliseconds fetchInterval{200}; ///< Between fetches of records from peers.
constexpr Milliseconds gatherInterval{50}; ///< Between reads while nothing of this daemon's own is awaited.

/** Records that a read failed, and when the next may be tried. */
void noteFailedRead(Node &node, const TickTime &time)
{
    auto &view = node.view;
    view.lastReadFailed = true;
    ++view.failedReads;
    view.nextReadAt = time.now + backoffPause(node.random, readBackoff, longestReadBackoff, view.failedReads);
    countRetry(node, RetryReason::ReadFailed);
}

/** Takes in what the reads of the log prove. Their records were applied before. */
void takeReads(Node &node, const TickTime &time)
{
    auto &view = node.view;
    for (const auto &it : node.inbox.logReads) {
        view.reading = false;
        if (it.failed) {
            noteFailedRead(node, time);
            continue;
        }
        view.lastReadFailed = false;
        view.failedReads = 0;
        view.lastReadAt = time.now;
        view.firstRetained = it.firstRetained;
        addEvidence(node, {it.head, it.requestedAt});
    }
    node.inbox.logReads.clear();
    node.inbox.peerReads.clear();
}

/** Moves proofs that are applied up to from the pending ones into the view. */
void settleEvidence(Node &node)
{
    auto &view = node.view;
    while (!view.pending.empty() && view.pending.front().head <= node.tables.position.nextOffset) {
        view.freshAt = std::max(view.freshAt, view.pending.front().provenAt);
        view.caughtUp = true;
        view.pending.pop_front();
    }
}

/**
 * Puts the next read off a little while no own batch waits to be read back: each record wakes the long poll of every
 * daemon, and records that are read together share one answer.
 */
bool gathersRecords(Node &node, const TickTime &time)
{
    const auto gathered = node.view.lastReadAt + gatherInterval;
    const bool isIdle = node.phase == NodePhase::Serving && !node.inFlight && node.view.fresh;
    if (!isIdle || time.now >= gathered) {
        return false;
    }
    wakeBy(node, gathered);
    return true;
}

void askLog(Node &node, const TickTime &time)
{
    auto &view = node.view;
    if (view.reading || view.blocked || node.snapshot.phase == LoadPhase::Decoding || gathersRecords(node, time)) {
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

/** The peer that has applied most; unset when none has more than this daemon. */
PeerRef furthestPeer(const Node &node, const TickTime &time)
{
    PeerRef best;
    std::uint64_t bestOffset = node.tables.position.nextOffset;
    node.peers.forEach([&](PeerRef it) {
        const auto &peer = node.peers.get<Peer>(it);
        const bool isHeard = time.now - peer.lastReceivedAt <= node.settings.peerTimeout;
        if (isHeard && peer.appliedOffset > bestOffset) {
            best = it;
            bestOffset = peer.appliedOffset;
        }
    });
    return best;
}

/** While the log is silent, asks the peer that is furthest for the records that are missing here. */
void askPeer(Node &node, const TickTime &time)
{
    auto &view = node.view;
    if (!isLogSilent(node, time) || view.blocked || node.snapshot.phase != LoadPhase::None) {
        return;
    }
    if (time.now < view.fetchedAt + fetchInterval) {
        return;
    }
    const auto peer = furthestPeer(node, time);
    if (!peer.isSet()) {
        return;
    }
    const auto daemon = findRef(node.tables.lookups.daemons, node.peers.get<Peer>(peer).daemon);
    if (!daemon.isSet()) {
        return;
    }
    const auto &address = node.tables.daemons.get<DaemonIdentity>(daemon).peerAddress;
    node.outbox.recordFetches.push_back({address, node.tables.position.nextOffset});
    view.fetchedAt = time.now;
    wakeBy(node, time.now + fetchInterval);
}

} // namespace

void addEvidence(Node &node, const HeadEvidence &evidence)
{
    auto &view = node.view;
    view.knownHead = std::max(view.knownHead, evidence.head);
    if (evidence.provenAt > view.newest.provenAt) {
        view.newest = evidence;
    }
    const auto place = std::ranges::upper_bound(view.pending, evidence.head, {}, &HeadEvidence::head);
    view.pending.insert(place, evidence);
    settleEvidence(node);
    if (view.pending.size() > maxPendingEvidence) {
        view.pending.erase(view.pending.end() - 2);
    }
}

void judgeView(Node &node, const TickTime &time)
{
    auto &view = node.view;
    settleEvidence(node);
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

bool isLogSilent(const Node &node, const TickTime &time)
{
    const auto &view = node.view;
    return view.lastReadFailed || time.now - view.lastReadAt > node.settings.logPoll + node.settings.fence / 2;
}

void freshnessSystem(Node &node, const TickTime &time)
{
    takeReads(node, time);
    judgeView(node, time);
    askLog(node, time);
    askPeer(node, time);
}

} // namespace flamingotally
