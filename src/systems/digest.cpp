#include "core/digest.h"

#include "systems/snapshot_work.h"

#include <algorithm>
#include <bit>

namespace flamingotally
{

namespace
{

constexpr Milliseconds baseInterval{1'000}; ///< Time between two digests of small tables.
/** The interval grows by one base interval for each of this many rows, rounded up to a power of two. */
constexpr std::uint64_t rowsPerInterval = 4'096;
constexpr std::size_t maxDigests = 32; ///< Number of the newest own digests that are retained.
constexpr Milliseconds repairInterval{10'000}; ///< Shortest time between two reloads of confirmed tables.
constexpr Milliseconds confirmationTimeout{5'000}; ///< Time to wait for a peer's digest after a snapshot was loaded.

/** Counts a part of a snapshot that was read from the log. Returns true if the part completes the snapshot. */
bool countPart(SnapshotWork &work, const SnapshotChunk &chunk, std::uint64_t record)
{
    auto &observedParts = work.observedParts;
    if (chunk.index == 0) {
        observedParts = {chunk.snapshotOffset, chunk.stateDigest, record, chunk.count, 0, {}};
    }
    const bool isNext = chunk.snapshotOffset == observedParts.offset && chunk.stateDigest == observedParts.digest
        && chunk.index == observedParts.found && chunk.count == observedParts.count;
    if (!isNext || chunk.count == 0) {
        return false;
    }
    ++observedParts.found;
    return observedParts.found == observedParts.count;
}

/** Counts the snapshot parts in a record. Returns true if the record completes a snapshot. */
bool trackSnapshots(Node &node, const LogEntry &entry, const TickTime &time)
{
    auto &work = node.snapshot;
    bool isComplete = false;
    for (const auto &it : entry.batch.commands) {
        const auto *chunk = std::get_if<SnapshotChunk>(&it);
        if (chunk == nullptr || !countPart(work, *chunk, entry.offset)) {
            continue;
        }
        isComplete = true;
        work.newestRecord = work.observedParts.firstRecord;
        work.newestOffset = work.observedParts.offset;
        node.snapshotIntervalStart = time.now;
    }
    return isComplete;
}

/** Returns this daemon's digest at an offset; null if none was computed or it is no longer retained. */
const TableDigest *findDigest(const Node &node, std::uint64_t offset)
{
    const auto it = std::ranges::find(node.digests, offset, &TableDigest::offset);
    return it == node.digests.end() ? nullptr : &*it;
}

/** Result of comparing this daemon's digests with those of all reachable peers. */
struct Comparison {
    bool isConfirmed = false; ///< At least one digest of a peer is the same.
    bool isMismatched = false; ///< At least one digest of a peer differs.
};

/** Compares the digests at the offsets of the peers' newest digests, and counts each mismatch once. */
Comparison compareWithPeers(Node &node, const TickTime &time)
{
    Comparison result;
    node.peers.forEach([&](PeerRef it) {
        auto &peer = node.peers.get<Peer>(it);
        const auto *own = findDigest(node, peer.digestOffset);
        if (own == nullptr || time.now - peer.lastReceivedAt > node.settings.peerTimeout) {
            return;
        }
        if (own->digest == peer.digest) {
            result.isConfirmed = true;
            return;
        }
        result.isMismatched = true;
        if (peer.comparedOffset != peer.digestOffset) {
            peer.comparedOffset = peer.digestOffset;
            ++node.counters.digestMismatches;
        }
    });
    return result;
}

} // namespace

Milliseconds digestInterval(const Tables &tables)
{
    const std::uint64_t rows =
        tables.requests.size() + tables.jobs.size() + tables.tasks.size() + tables.attempts.size();
    const auto factor = std::bit_ceil(std::max<std::uint64_t>(1, (rows + rowsPerInterval - 1) / rowsPerInterval));
    return baseInterval * static_cast<std::int64_t>(factor);
}

void onRecordApplied(Node &node, const LogEntry &entry, LogTime before, const TickTime &time)
{
    const auto &position = node.tables.position;
    const auto interval = digestInterval(node.tables);
    const bool isDue = position.time.time_since_epoch() / interval != before.time_since_epoch() / interval;
    const bool isSnapshotEnd = trackSnapshots(node, entry, time);
    if (!isSnapshotEnd && !isDue) {
        return;
    }
    node.digests.push_back({position.nextOffset, digestOf(node.tables)});
    if (node.digests.size() > maxDigests) {
        node.digests.pop_front();
    }
}

void compareDigests(Node &node, const TickTime &time)
{
    auto &work = node.snapshot;
    const auto [isConfirmed, isMismatched] = compareWithPeers(node, time);
    if (isConfirmed) {
        work.isConfirmed = true;
        return;
    }
    const bool wasRepaired = work.loadedAt != MonotonicTime{} && time.now < work.loadedAt + repairInterval;
    if (!isMismatched || (wasRepaired && work.isConfirmed) || node.view.lastReadFailed) {
        return;
    }
    if (!work.isConfirmed && work.loadedOffset != 0) {
        work.refused.push_back(work.loadedOffset);
        ++node.counters.snapshotsRefused;
    }
    work.loadedAt = time.now;
    startSnapshotSeek(node);
}

bool isSnapshotTrusted(const Node &node, const TickTime &time)
{
    const auto &work = node.snapshot;
    if (work.phase != LoadPhase::None) {
        return false;
    }
    return work.isConfirmed || time.now >= work.loadedAt + confirmationTimeout;
}

} // namespace flamingotally
