#include "systems/heartbeat.h"

#include "systems/freshness.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

/** Sent as `headAge` while this daemon has no evidence of the head of the log. */
constexpr Milliseconds unknownAge{86'400'000};
/** Evidence with a greater `headAge` is ignored, and so are echoes with a greater `echoDelay`. */
constexpr Milliseconds maxEvidenceAge{60'000};

/** Returns true if the fields of a heartbeat have values that a correct daemon can send. */
bool isPlausible(const Heartbeat &heartbeat)
{
    return !heartbeat.daemon.empty() && heartbeat.headAge >= Milliseconds::zero()
        && heartbeat.echoDelay >= Milliseconds::zero() && heartbeat.appliedOffset <= INT64_MAX
        && heartbeat.head <= INT64_MAX;
}

/**
 * Returns the earliest time, by this daemon's clock, at which a received heartbeat can have been sent. The peer echoes
 * a heartbeat of this daemon, and cannot have received it before this daemon sent it. So the result is the time at
 * which this daemon sent the echoed heartbeat, plus the time that the peer reports between receipt and echo.
 * @return Nothing if there is no echo for this incarnation, if the peer reports a delay of the echo above
 * maxEvidenceAge, or if the result would be later than the receipt.
 */
std::optional<MonotonicTime> earliestSendTime(const Node &node, const ReceivedHeartbeat &received)
{
    const auto &heartbeat = received.heartbeat;
    if (heartbeat.echoIncarnation != node.incarnation || heartbeat.echoDelay > maxEvidenceAge) {
        return std::nullopt;
    }
    const MonotonicTime earliestSentAt = MonotonicTime{heartbeat.echoSentAt} + heartbeat.echoDelay;
    return earliestSentAt <= received.receivedAt ? std::optional(earliestSentAt) : std::nullopt;
}

/** Returns the row of the sender, adding it if needed. A newer incarnation of the sender resets the row. */
Peer &findOrAddPeer(Node &node, const Heartbeat &heartbeat)
{
    auto &known = node.peerByName[heartbeat.daemon];
    if (!node.peers.contains(known)) {
        known = node.peers.insert(Peer{});
    }
    auto &peer = node.peers.get<Peer>(known);
    if (heartbeat.incarnation > peer.incarnation) {
        peer = {};
        peer.daemon = heartbeat.daemon;
        peer.incarnation = heartbeat.incarnation;
    }
    return peer;
}

/** Updates the row of the sender. If a later heartbeat was received before, updates only `lastReceivedAt`. */
void updatePeer(Peer &peer, const ReceivedHeartbeat &received)
{
    const auto &heartbeat = received.heartbeat;
    peer.lastReceivedAt = std::max(peer.lastReceivedAt, received.receivedAt);
    if (heartbeat.sentAt < peer.sentAt) {
        return;
    }
    peer.sentAt = heartbeat.sentAt;
    peer.sentReceivedAt = received.receivedAt;
    peer.appliedOffset = heartbeat.appliedOffset;
    peer.digestOffset = heartbeat.digestOffset;
    peer.digest = heartbeat.digest;
    peer.leaving = heartbeat.leaving;
    peer.readsLog = heartbeat.readsLog;
    peer.snapshotRecord = heartbeat.snapshotRecord;
}

/**
 * Adds the evidence of the head of the log from a heartbeat. Does nothing if the earliest send time of the heartbeat is
 * not known, or if the evidence was older than maxEvidenceAge when it was sent.
 */
void addPeerHeadEvidence(Node &node, Peer &peer, const ReceivedHeartbeat &received)
{
    const auto earliestSentAt = earliestSendTime(node, received);
    if (!earliestSentAt || received.heartbeat.headAge > maxEvidenceAge) {
        return;
    }
    const HeadEvidence evidence{received.heartbeat.head, *earliestSentAt - received.heartbeat.headAge};
    if (evidence.provenAt > peer.headAt) {
        peer.head = evidence.head;
        peer.headAt = evidence.provenAt;
    }
    addHeadEvidence(node, evidence);
}

void processHeartbeat(Node &node, const ReceivedHeartbeat &received)
{
    const auto &heartbeat = received.heartbeat;
    if (!isPlausible(heartbeat)) {
        ++node.counters.heartbeatsDropped;
        return;
    }
    if (heartbeat.daemon == node.settings.name) {
        return;
    }
    auto &peer = findOrAddPeer(node, heartbeat);
    if (heartbeat.incarnation < peer.incarnation) {
        ++node.counters.heartbeatsDropped;
        return;
    }
    updatePeer(peer, received);
    addPeerHeadEvidence(node, peer, received);
}

/** Builds the part of the heartbeat that is the same for all receivers. */
Heartbeat makeHeartbeat(const Node &node, const TickTime &time)
{
    Heartbeat heartbeat;
    heartbeat.daemon = node.settings.name;
    heartbeat.incarnation = node.incarnation;
    heartbeat.head = node.view.newest.head;
    const auto age = node.view.newest.provenAt == MonotonicTime{} ? unknownAge : time.now - node.view.newest.provenAt;
    heartbeat.headAge = std::max(Milliseconds::zero(), age);
    heartbeat.appliedOffset = node.tables.position.nextOffset;
    if (!node.digests.empty()) {
        heartbeat.digestOffset = node.digests.back().offset;
        heartbeat.digest = node.digests.back().digest;
    }
    heartbeat.leaving = node.phase == NodePhase::Draining || node.phase == NodePhase::Drained;
    heartbeat.readsLog = !isLogUnreachable(node, time);
    heartbeat.sentAt = time.now.time_since_epoch();
    heartbeat.snapshotRecord = node.snapshot.newestRecord;
    return heartbeat;
}

/** Queues a heartbeat for one daemon. Echoes the received heartbeat of that daemon that has the newest `sentAt`. */
void sendHeartbeat(Node &node, Heartbeat heartbeat, const std::string &daemon, const std::string &address)
{
    if (const auto known = findRef(node.peerByName, daemon); node.peers.contains(known)) {
        const auto &peer = node.peers.get<Peer>(known);
        heartbeat.echoIncarnation = peer.incarnation;
        heartbeat.echoSentAt = peer.sentAt;
        heartbeat.echoDelay = MonotonicTime{heartbeat.sentAt} - peer.sentReceivedAt;
    }
    node.outbox.heartbeats.push_back({address, std::move(heartbeat)});
}

} // namespace

void receiveHeartbeats(Node &node)
{
    for (const auto &it : node.inbox.heartbeats) {
        processHeartbeat(node, it);
    }
    node.inbox.heartbeats.clear();
}

void sendHeartbeats(Node &node, const TickTime &time)
{
    if (time.now < node.heartbeatSentAt + node.settings.heartbeatInterval && node.heartbeatSentAt != MonotonicTime{}) {
        wakeBy(node, node.heartbeatSentAt + node.settings.heartbeatInterval);
        return;
    }
    node.heartbeatSentAt = time.now;
    wakeBy(node, time.now + node.settings.heartbeatInterval);
    const auto heartbeat = makeHeartbeat(node, time);
    node.tables.daemons.forEach([&](DaemonRef it) {
        const auto &identity = node.tables.daemons.get<DaemonIdentity>(it);
        if (identity.name != node.settings.name) {
            sendHeartbeat(node, heartbeat, identity.name, identity.peerAddress);
        }
    });
    for (const auto &it : node.hosts) {
        const bool isUnjoined = it.role == HostRole::Entry && !node.tables.lookups.daemons.contains(it.name);
        if (isUnjoined && it.name != node.settings.name) {
            sendHeartbeat(node, heartbeat, it.name, it.address);
        }
    }
}

} // namespace flamingotally
