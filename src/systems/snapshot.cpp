#include "systems/rendezvous.h"
#include "systems/snapshot_work.h"
#include "systems/systems.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

constexpr std::uint64_t maxSnapshotBytesPerSecond = 2'048; ///< Mean rate at which snapshots may add to the log.
/** The log counts as quiet if it has fewer records than this since the newest snapshot. */
constexpr std::uint64_t quietLogRecords = 64;
constexpr std::int64_t maxIntervalFactor = 2; ///< Longest pause between snapshots, as a multiple of the interval.

/** Returns the pause between two snapshots: the set interval, up to twice that for large tables or a quiet log. */
Milliseconds snapshotPause(const Node &node)
{
    const auto maxPause = node.settings.snapshotInterval * maxIntervalFactor;
    const Milliseconds bySize{static_cast<std::int64_t>(node.snapshot.bytes * 1'000 / maxSnapshotBytesPerSecond)};
    const bool isQuiet = node.tables.position.nextOffset < node.snapshot.newestOffset + quietLogRecords;
    return isQuiet ? maxPause : std::clamp(bySize, node.settings.snapshotInterval, maxPause);
}

/** Returns true if the newest snapshot is in the older half of the records that the log retains. */
bool isNearRetentionLimit(const Node &node)
{
    const auto firstRetained = node.view.firstRetained;
    const auto middle = firstRetained
        + (node.tables.position.nextOffset - std::min(firstRetained, node.tables.position.nextOffset)) / 2;
    return firstRetained > 0 && node.snapshot.newestRecord < middle;
}

/** Splits an encoded snapshot into chunks, each of which is proposed on its own. */
void splitIntoChunks(Node &node, const EncodedSnapshot &encoded)
{
    const auto size = std::max<std::uint64_t>(1, node.settings.snapshotChunkBytes);
    const auto count = static_cast<std::uint32_t>((encoded.bytes.size() + size - 1) / size);
    for (std::uint32_t n = 0; n < count; ++n) {
        node.snapshot.toPropose.push_back(
            {encoded.offset, encoded.digest, n, count, encoded.bytes.substr(n * size, size)});
    }
    node.snapshot.bytes = encoded.bytes.size();
}

/** Proposes the next chunk once the previous one has been read back. */
void proposeChunk(Node &node, const TickTime &time)
{
    auto &work = node.snapshot;
    if (work.toPropose.empty() || node.proposals.contains(work.proposal)) {
        return;
    }
    work.proposal = propose(node, std::move(work.toPropose.front()), time);
    work.toPropose.pop_front();
    if (work.toPropose.empty()) {
        ++node.counters.snapshotsWritten;
    }
}

/** Returns true if the next snapshot is due; otherwise requests a tick for the time at which it will be. */
bool isSnapshotDue(Node &node, const TickTime &time)
{
    if (node.snapshotIntervalStart == MonotonicTime{}) {
        node.snapshotIntervalStart = time.now;
    }
    const auto dueAt = node.snapshotIntervalStart + snapshotPause(node);
    if (time.now < dueAt && !isNearRetentionLimit(node)) {
        wakeBy(node, dueAt);
        return false;
    }
    return true;
}

} // namespace

void writeSnapshots(Node &node, const TickTime &time)
{
    if (const auto encoded = std::exchange(node.inbox.encodedSnapshot, std::nullopt)) {
        splitIntoChunks(node, *encoded);
    }
    proposeChunk(node, time);
    const bool isInProgress = !node.snapshot.toPropose.empty() || node.proposals.contains(node.snapshot.proposal);
    const bool mayWrite = node.phase == NodePhase::Serving && node.view.fresh && !node.view.lastReadFailed;
    if (isInProgress || !mayWrite || !isSnapshotDue(node, time) || !isRendezvousChoice(node, "snapshot", time)) {
        return;
    }
    node.outbox.mustEncodeSnapshot = true;
    node.snapshotIntervalStart = time.now;
    wakeBy(node, time.now);
}

void snapshotSystem(Node &node, const TickTime &time)
{
    if (node.snapshot.phase == LoadPhase::None) {
        startSeekIfNeeded(node, time);
    } else {
        continueSnapshotLoad(node, time);
    }
    if (node.snapshot.phase == LoadPhase::None) {
        compareDigests(node, time);
        writeSnapshots(node, time);
    }
}

} // namespace flamingotally
