#include "systems/rendezvous.h"
#include "systems/snapshot_work.h"
#include "systems/systems.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

constexpr std::uint64_t bytesPerSecond = 2'048; ///< Mean rate that snapshots may add to the log.
constexpr std::uint64_t fewRecords = 64; ///< After fewer new records the tables are not worth a snapshot soon.
constexpr std::int64_t longestFactor = 2; ///< Multiple of the interval by which there is a snapshot in any case.

/** Pause between two snapshots: by the setting, up to twice as long for large tables and for a quiet log. */
Milliseconds pauseOf(const Node &node)
{
    const auto longest = node.settings.snapshotInterval * longestFactor;
    const Milliseconds bySize{static_cast<std::int64_t>(node.snapshot.bytes * 1'000 / bytesPerSecond)};
    const bool isQuiet = node.tables.position.nextOffset < node.snapshot.newestOffset + fewRecords;
    return isQuiet ? longest : std::clamp(bySize, node.settings.snapshotInterval, longest);
}

/** Tells whether the log has dropped so much that the newest snapshot is in the older half of what it keeps. */
bool isNearRetention(const Node &node)
{
    const auto firstRetained = node.view.firstRetained;
    const auto middle = firstRetained
        + (node.tables.position.nextOffset - std::min(firstRetained, node.tables.position.nextOffset)) / 2;
    return firstRetained > 0 && node.snapshot.newestRecord < middle;
}

/** Cuts an encoded snapshot into records. */
void cutIntoChunks(Node &node, const EncodedSnapshot &encoded)
{
    const auto size = std::max<std::uint64_t>(1, node.settings.snapshotChunkBytes);
    const auto count = static_cast<std::uint32_t>((encoded.bytes.size() + size - 1) / size);
    for (std::uint32_t n = 0; n < count; ++n) {
        node.snapshot.toPropose.push_back(
            {encoded.offset, encoded.digest, n, count, encoded.bytes.substr(n * size, size)});
    }
    node.snapshot.bytes = encoded.bytes.size();
}

/** Proposes the next part once the one before has been read back. */
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

bool isDue(Node &node, const TickTime &time)
{
    if (node.snapshotAt == MonotonicTime{}) {
        node.snapshotAt = time.now;
    }
    const auto dueAt = node.snapshotAt + pauseOf(node);
    if (time.now < dueAt && !isNearRetention(node)) {
        wakeBy(node, dueAt);
        return false;
    }
    return true;
}

} // namespace

void writeSnapshots(Node &node, const TickTime &time)
{
    if (const auto encoded = std::exchange(node.inbox.encodedSnapshot, std::nullopt)) {
        cutIntoChunks(node, *encoded);
    }
    proposeChunk(node, time);
    const bool isUnderWay = !node.snapshot.toPropose.empty() || node.proposals.contains(node.snapshot.proposal);
    const bool mayWrite = node.phase == NodePhase::Serving && node.view.fresh && !node.view.lastReadFailed;
    if (isUnderWay || !mayWrite || !isDue(node, time) || !isChosen(node, "snapshot", time)) {
        return;
    }
    node.outbox.encodeSnapshot = true;
    node.snapshotAt = time.now;
    wakeBy(node, time.now);
}

void snapshotSystem(Node &node, const TickTime &time)
{
    if (node.snapshot.phase == LoadPhase::None) {
        seekWhenNeeded(node, time);
    } else {
        continueLoad(node, time);
    }
    if (node.snapshot.phase == LoadPhase::None) {
        compareDigests(node, time);
        writeSnapshots(node, time);
    }
}

} // namespace flamingotally
