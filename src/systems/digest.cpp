#include "core/digest.h"

#include "systems/snapshot_work.h"

#include <algorithm>
#include <bit>

namespace flamingotally
{

namespace
{

constexpr Milliseconds baseInterval{1'000}; ///< Between two digests of small tables.
constexpr std::uint64_t rowsPerInterval = 4'096; ///< The interval grows with every so many rows.
constexpr std::size_t keptDigests = 32;
constexpr Milliseconds repairPause{10'000}; ///< Shortest time between two repairs.
constexpr Milliseconds confirmationWait{5'000}; ///< How long a loaded daemon waits for a peer's digest.

/** Counts the parts of snapshots as they pass. Returns true when the last one has. */
bool notePart(SnapshotWork &work, const SnapshotChunk &chunk, std::uint64_t record)
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

/** Watches snapshots pass in a record. Returns true when one was completed. */
bool noteSnapshots(Node &node, const LogEntry &entry, const TickTime &time)
{
    auto &work = node.snapshot;
    bool isComplete = false;
    for (const auto &it : entry.batch.commands) {
        const auto *chunk = std::get_if<SnapshotChunk>(&it);
        if (chunk == nullptr || !notePart(work, *chunk, entry.offset)) {
            continue;
        }
        isComplete = true;
        work.newestRecord = work.observedParts.firstRecord;
        work.newestOffset = work.observedParts.offset;
        node.snapshotAt = time.now;
    }
    return isComplete;
}

/** Own digest at an offset; null when it was not made or is forgotten. */
const TableDigest *findDigest(const Node &node, std::uint64_t offset)
{
    const auto it = std::ranges::find(node.digests, offset, &TableDigest::offset);
    return it == node.digests.end() ? nullptr : &*it;
}

/** What the digests of all peers say of the own tables. */
struct Comparison {
    bool isConfirmed = false;
    bool isContradicted = false;
};

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
        result.isContradicted = true;
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

void noteApplied(Node &node, const LogEntry &entry, LogTime before, const TickTime &time)
{
    const auto &position = node.tables.position;
    const auto interval = digestInterval(node.tables);
    const bool isDue = position.time.time_since_epoch() / interval != before.time_since_epoch() / interval;
    const bool isSnapshotEnd = noteSnapshots(node, entry, time);
    if (!isSnapshotEnd && !isDue) {
        return;
    }
    node.digests.push_back({position.nextOffset, digestOf(node.tables)});
    if (node.digests.size() > keptDigests) {
        node.digests.pop_front();
    }
}

void compareDigests(Node &node, const TickTime &time)
{
    auto &work = node.snapshot;
    const auto [isConfirmed, isContradicted] = compareWithPeers(node, time);
    if (isConfirmed) {
        work.isConfirmed = true;
        return;
    }
    const bool wasRepaired = work.loadedAt != MonotonicTime{} && time.now < work.loadedAt + repairPause;
    if (!isContradicted || (wasRepaired && work.isConfirmed) || node.view.lastReadFailed) {
        return;
    }
    if (!work.isConfirmed && work.loadedOffset != 0) {
        work.refused.push_back(work.loadedOffset);
        ++node.counters.snapshotsRefused;
    }
    work.loadedAt = time.now;
    beginSeek(node);
}

bool isSnapshotTrusted(const Node &node, const TickTime &time)
{
    const auto &work = node.snapshot;
    if (work.phase != LoadPhase::None) {
        return false;
    }
    return work.isConfirmed || time.now >= work.loadedAt + confirmationWait;
}

} // namespace flamingotally
