#include "core/digest.h"
#include "systems/freshness.h"
#include "systems/snapshot_work.h"

#include <algorithm>
#include <numeric>

namespace flamingotally
{

namespace
{

constexpr std::uint64_t maxReplayRecords = 2'000; ///< Most records that a new daemon replays without a snapshot.
constexpr std::uint64_t initialWindow = 1'024; ///< Records before the head of the log that are searched first.
constexpr std::uint64_t windowGrowth = 4; ///< Factor by which the searched window grows if it has no snapshot.

/** Returns the highest offset at which a peer reports that a complete snapshot begins; zero if no peer reports one. */
std::uint64_t peerSnapshotHint(const Node &node)
{
    std::uint64_t hint = 0;
    node.peers.forEach([&](PeerRef it) { hint = std::max(hint, node.peers.get<Peer>(it).snapshotRecord); });
    return hint;
}

/** Sets the window of records to search, based on the newest read of the log and the hints of peers. */
void setWindow(Node &node, const LogRead &read, std::uint64_t window)
{
    auto &work = node.snapshot;
    const auto hint = peerSnapshotHint(node);
    const auto start = read.head - std::min(read.head, window);
    const bool isHinted = hint >= read.firstRetained && hint < read.head && work.refused.empty();
    work.seekFrom = std::max(read.firstRetained, isHinted ? std::min(hint, start) : start);
    work.seekNext = work.seekFrom;
    work.seekEnd = read.head;
    work.collected.clear();
}

/** Returns the collected parts of the snapshot that a chunk belongs to, adding an empty row if needed. */
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

/** Stores one part of a snapshot. Ignores parts that are invalid, already stored or of a refused snapshot. */
void collectChunk(SnapshotWork &work, const SnapshotChunk &chunk, std::uint64_t record)
{
    constexpr std::uint32_t maxParts = 65'536;
    const bool isValid = chunk.index < chunk.count && chunk.count <= maxParts && !chunk.bytes.empty();
    if (!isValid || std::ranges::find(work.refused, chunk.snapshotOffset) != work.refused.end()) {
        return;
    }
    auto &parts = partsOf(work, chunk, record);
    if (parts.parts[chunk.index].empty()) {
        parts.parts[chunk.index] = chunk.bytes;
        ++parts.found;
    }
}

/** Collects the snapshot parts in a read, from the record at which the search continues. */
void processSeekRead(SnapshotWork &work, const LogRead &read)
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
                collectChunk(work, *chunk, entry.offset);
            }
        }
    }
}

/**
 * Requests the decoding of the newest complete snapshot for which the log still retains all later records. Returns
 * false if there is none.
 */
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
        node.outbox.snapshotToDecode = EncodedSnapshot{it.offset, it.digest, std::move(bytes)};
        work.decoding = {it.offset, it.digest};
        work.phase = LoadPhase::Decoding;
        return true;
    }
    return false;
}

/** Empties the tables, so that the whole log is replayed from offset 0. */
void replayAll(Node &node)
{
    node.tables = {};
    node.digests.clear();
    node.snapshot.phase = LoadPhase::None;
    node.snapshot.isReplayingAll = true;
    node.snapshot.loadedOffset = 0;
    node.snapshot.isConfirmed = true;
    resetView(node);
}

/**
 * Loads the newest complete snapshot once the window has been searched. If there is none, searches a larger window. If
 * there are no older records, replays the log from offset 0, or, if offset 0 is not retained, extends the window until
 * a daemon has written a snapshot.
 */
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

/**
 * Drops the batch in flight if the loaded tables already include it. Its results are unknown to this daemon, so the
 * waits of its callers end.
 */
void dropAppliedBatch(Node &node, const TickTime &time)
{
    if (!node.inFlight) {
        return;
    }
    const auto self = findRef(node.tables.lookups.daemons, node.settings.name);
    const bool wasApplied = self.isSet()
        && node.tables.daemons.get<DaemonIdentity>(self).incarnation >= node.inFlight->batch.incarnation
        && node.tables.daemons.get<DaemonState>(self).lastSequence >= node.inFlight->batch.sequence;
    if (!wasApplied) {
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

/** Replaces the tables by those of a decoded snapshot, which peers have yet to confirm. */
void installTables(Node &node, Tables tables, const TickTime &time)
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
    dropAppliedBatch(node, time);
}

/** Installs a decoded snapshot, or refuses it and searches again if its offset or digest is wrong. */
void processDecoded(Node &node, const TickTime &time)
{
    auto &work = node.snapshot;
    auto decoded = std::exchange(node.inbox.decodedSnapshot, std::nullopt);
    if (!decoded || work.phase != LoadPhase::Decoding) {
        return;
    }
    const bool isVerified = decoded->tables && decoded->tables->position.nextOffset == work.decoding.offset
        && digestOf(*decoded->tables) == work.decoding.digest;
    if (isVerified) {
        installTables(node, *std::move(decoded->tables), time);
        return;
    }
    work.refused.push_back(work.decoding.offset);
    ++node.counters.snapshotsRefused;
    work.phase = LoadPhase::Seeking;
    work.isSeekWindowUnset = true;
}

} // namespace

void startSnapshotSeek(Node &node)
{
    node.snapshot.phase = LoadPhase::Seeking;
    node.snapshot.isSeekWindowUnset = true;
    node.snapshot.toPropose.clear();
    if (node.phase == NodePhase::Serving) {
        node.phase = NodePhase::CatchingUp;
    }
    resetView(node);
}

void startSeekIfNeeded(Node &node, const TickTime & /*time*/)
{
    const auto next = node.tables.position.nextOffset;
    const bool isNew = node.phase == NodePhase::CatchingUp && node.snapshot.loadedOffset == 0;
    for (const auto &it : node.inbox.logReads) {
        if (it.failed) {
            continue;
        }
        const bool isReplayTooLong = isNew && !node.snapshot.isReplayingAll && it.head > next + maxReplayRecords;
        if (it.firstRetained > next || isReplayTooLong) {
            startSnapshotSeek(node);
            return;
        }
    }
}

void continueSnapshotLoad(Node &node, const TickTime &time)
{
    auto &work = node.snapshot;
    processDecoded(node, time);
    for (const auto &it : node.inbox.logReads) {
        if (work.phase != LoadPhase::Seeking || it.failed) {
            continue;
        }
        if (work.isSeekWindowUnset) {
            setWindow(node, it, initialWindow);
            work.isSeekWindowUnset = false;
            continue;
        }
        processSeekRead(work, it);
        if (work.seekNext >= work.seekEnd) {
            finishWindow(node, it);
        }
    }
    if (work.phase == LoadPhase::Decoding) {
        wakeBy(node, time.now);
    }
}

} // namespace flamingotally
