#include "core/digest.h"
#include "systems/freshness.h"
#include "systems/snapshot_work.h"

#include <algorithm>
#include <numeric>

namespace flamingotally
{

namespace
{

constexpr std::uint64_t replayLimit = 2'000; ///< A fresh daemon replays this many records without a snapshot.
constexpr std::uint64_t firstWindow = 1'024; ///< Records from the log's end in which a snapshot is sought first.
constexpr std::uint64_t windowGrowth = 4;

/** Where a peer says that a complete snapshot begins; zero when none does. */
std::uint64_t hintOfPeers(const Node &node)
{
    std::uint64_t hint = 0;
    node.peers.forEach([&](PeerRef it) { hint = std::max(hint, node.peers.get<Peer>(it).snapshotRecord); });
    return hint;
}

/** Sets where to read from and to, by the newest read of the log. */
void setWindow(Node &node, const LogRead &read, std::uint64_t window)
{
    auto &work = node.snapshot;
    const auto hint = hintOfPeers(node);
    const auto start = read.head - std::min(read.head, window);
    const bool isHinted = hint >= read.firstRetained && hint < read.head && work.refused.empty();
    work.seekFrom = std::max(read.firstRetained, isHinted ? std::min(hint, start) : start);
    work.seekNext = work.seekFrom;
    work.seekEnd = read.head;
    work.collected.clear();
}

SnapshotParts &partsOf(SnapshotWork &work, const SnapshotChunk &chunk, std::uint64_t record)
{
    const auto isSame = [&](const SnapshotParts &it) {
        return it.offset == chunk.snapshotOffset && it.digest == chunk.stateDigest && it.count == chunk.count;
    };
    if (const auto it = std::ranges::find_if(work.collected, isSame); it != work.collected.end()) {
        return *it;
    }
    work.collected.push_back({chunk.snapshotOffset, chunk.stateDigest, record, chunk.count, 0, {}});
    work.collected.back().parts.resize(chunk.count);
    return work.collected.back();
}

/** Keeps one part of a snapshot. A part that was seen before, or that cannot belong to one, is passed over. */
void collect(SnapshotWork &work, const SnapshotChunk &chunk, std::uint64_t record)
{
    constexpr std::uint32_t maxParts = 65'536;
    const bool isSound = chunk.index < chunk.count && chunk.count <= maxParts && !chunk.bytes.empty();
    if (!isSound || std::ranges::find(work.refused, chunk.snapshotOffset) != work.refused.end()) {
        return;
    }
    auto &parts = partsOf(work, chunk, record);
    if (parts.parts[chunk.index].empty()) {
        parts.parts[chunk.index] = chunk.bytes;
        ++parts.found;
    }
}

/** Collects parts from a read that continues the search. */
void takeSeekRead(SnapshotWork &work, const LogRead &read)
{
    if (read.firstRetained > work.seekNext) {
        work.seekNext = read.firstRetained;
        work.seekFrom = read.firstRetained;
    }
    for (const auto &entry : read.entries) {
        if (entry.offset != work.seekNext) {
            continue;
        }
        ++work.seekNext;
        for (const auto &it : entry.batch.commands) {
            if (const auto *chunk = std::get_if<SnapshotChunk>(&it)) {
                collect(work, *chunk, entry.offset);
            }
        }
    }
}

/** Has the newest complete snapshot decoded whose tail the log still keeps. Returns false when there is none. */
bool decodeNewest(Node &node, std::uint64_t firstRetained)
{
    auto &work = node.snapshot;
    std::ranges::sort(work.collected, std::greater{}, &SnapshotParts::offset);
    for (const auto &it : work.collected) {
        const bool isRefused = std::ranges::find(work.refused, it.offset) != work.refused.end();
        if (it.found != it.count || it.offset < firstRetained || isRefused) {
            continue;
        }
        auto bytes = std::accumulate(it.parts.begin(), it.parts.end(), std::string{});
        node.outbox.decodeSnapshot = EncodedSnapshot{it.offset, it.digest, std::move(bytes)};
        work.decoding = {it.offset, it.digest};
        work.phase = LoadPhase::Decoding;
        return true;
    }
    return false;
}

/** Replays the log from its beginning. */
void replayAll(Node &node)
{
    node.tables = {};
    node.digests.clear();
    node.snapshot.phase = LoadPhase::None;
    node.snapshot.replaysAll = true;
    node.snapshot.loadedOffset = 0;
    node.snapshot.isConfirmed = true;
    resetView(node);
}

/** At the end of the window: loads what was found, or looks further back, or waits for a daemon to write one. */
void finishWindow(Node &node, const LogRead &read)
{
    auto &work = node.snapshot;
    if (decodeNewest(node, read.firstRetained)) {
        return;
    }
    if (work.seekFrom > read.firstRetained) {
        setWindow(node, read, (work.seekEnd - work.seekFrom) * windowGrowth);
    } else if (read.firstRetained == 0) {
        replayAll(node);
    } else {
        work.seekEnd = read.head;
    }
}

/** Ends the wait for a batch that the loaded tables have already seen: what became of it is not known here. */
void dropPassedBatch(Node &node, const TickTime &time)
{
    if (!node.inFlight) {
        return;
    }
    const auto self = findRef(node.tables.lookups.daemons, node.settings.name);
    const bool isPassed = self.isSet()
        && node.tables.daemons.get<DaemonIdentity>(self).incarnation >= node.inFlight->batch.incarnation
        && node.tables.daemons.get<DaemonState>(self).lastSequence >= node.inFlight->batch.sequence;
    if (!isPassed) {
        return;
    }
    for (const auto it : node.inFlight->proposals) {
        if (!node.proposals.contains(it)) {
            continue;
        }
        const auto waiter = findRef(node.waiterByHandle, node.proposals.get<Proposal>(it).handle);
        if (node.waiters.contains(waiter)) {
            node.waiters.get<Waiter>(waiter).until = time.now;
        }
        node.proposals.erase(it);
    }
    node.inFlight.reset();
}

void adopt(Node &node, Tables tables, const TickTime &time)
{
    auto &work = node.snapshot;
    node.tables = std::move(tables);
    node.digests.clear();
    node.digests.push_back({work.decoding.offset, work.decoding.digest});
    work.phase = LoadPhase::None;
    work.loadedOffset = work.decoding.offset;
    work.loadedAt = time.now;
    work.isConfirmed = false;
    work.observedParts = {};
    work.collected.clear();
    node.leaseScan = {};
    ++node.counters.snapshotsLoaded;
    resetView(node);
    dropPassedBatch(node, time);
}

void takeDecoded(Node &node, const TickTime &time)
{
    auto &work = node.snapshot;
    auto decoded = std::exchange(node.inbox.decodedSnapshot, std::nullopt);
    if (!decoded || work.phase != LoadPhase::Decoding) {
        return;
    }
    const bool isRight = decoded->tables && decoded->tables->position.nextOffset == work.decoding.offset
        && digestOf(*decoded->tables) == work.decoding.digest;
    if (isRight) {
        adopt(node, *std::move(decoded->tables), time);
        return;
    }
    work.refused.push_back(work.decoding.offset);
    ++node.counters.snapshotsRefused;
    work.phase = LoadPhase::Seeking;
    work.needsWindow = true;
}

} // namespace

void beginSeek(Node &node)
{
    node.snapshot.phase = LoadPhase::Seeking;
    node.snapshot.needsWindow = true;
    node.snapshot.toPropose.clear();
    if (node.phase == NodePhase::Serving) {
        node.phase = NodePhase::CatchingUp;
    }
    resetView(node);
}

void seekWhenNeeded(Node &node, const TickTime & /*time*/)
{
    const auto next = node.tables.position.nextOffset;
    const bool isNew = node.phase == NodePhase::CatchingUp && node.snapshot.loadedOffset == 0;
    for (const auto &it : node.inbox.logReads) {
        if (it.failed) {
            continue;
        }
        const bool isLong = isNew && !node.snapshot.replaysAll && it.head > next + replayLimit;
        if (it.firstRetained > next || isLong) {
            beginSeek(node);
            return;
        }
    }
}

void continueLoad(Node &node, const TickTime &time)
{
    auto &work = node.snapshot;
    takeDecoded(node, time);
    for (const auto &it : node.inbox.logReads) {
        if (work.phase != LoadPhase::Seeking || it.failed) {
            continue;
        }
        if (work.needsWindow) {
            setWindow(node, it, firstWindow);
            work.needsWindow = false;
            continue;
        }
        takeSeekRead(work, it);
        if (work.seekNext >= work.seekEnd) {
            finishWindow(node, it);
        }
    }
    if (work.phase == LoadPhase::Decoding) {
        wakeBy(node, time.now);
    }
}

} // namespace flamingotally
