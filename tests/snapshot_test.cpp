/** @file snapshot_test.cpp Loading of snapshots, and reloading of tables that differ from those of the peers. */
#include "core/digest.h"
#include "fakes/cell.h"
#include "fakes/node_probe.h"
#include "systems/systems.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;
using namespace flamingotally::fakes;

namespace
{

constexpr std::uint64_t firstRetained = 50; ///< Offset of the oldest record that the log retains.

/** A newly started node, and a log that has dropped its first records. */
struct LoadScene {
    Node node;
    std::uint64_t head = firstRetained;
    LogRead read;

    LoadScene()
    {
        node.settings.name = "self";
        run(); // detects that records are missing
        run(); // sets the window to search
    }

    /** Adds a record with one part of a snapshot. */
    void addPart(std::uint64_t offset, std::uint64_t digest, std::uint32_t index, std::uint32_t count)
    {
        LogEntry entry;
        entry.offset = head++;
        entry.batch.commands.push_back(SnapshotChunk{offset, digest, index, count, "bytes"});
        read.entries.push_back(std::move(entry));
    }

    void run()
    {
        read.head = head;
        read.firstKept = firstRetained;
        node.inbox.logReads.push_back(std::exchange(read, {}));
        snapshotSystem(node, tickAt({}));
        node.inbox.logReads.clear();
    }

    /** Returns and clears the snapshot that the node requests to be decoded. */
    std::optional<EncodedSnapshot> requested()
    {
        return std::exchange(node.outbox.decodeSnapshot, std::nullopt);
    }
};

/** Returns empty tables at an offset. */
Tables tablesAt(std::uint64_t offset)
{
    Tables tables;
    tables.position.nextOffset = offset;
    return tables;
}

/** Submits small jobs, one every 50 ms. */
void submitJobs(Cell &cell, int count)
{
    for (int n = 0; n < count; ++n) {
        auto action = cell.makeSubmission("batch", Task{.runTime = Milliseconds{50}});
        action.request = cell.world.makeId();
        action.perTask = {1'000, 1'024, 0};
        cell.submit(1 + static_cast<std::size_t>(n) % 2, testKey(0), action);
        cell.pass(Milliseconds{50});
    }
}

WorldLayout smallLayout()
{
    WorldLayout layout;
    layout.domains = 1;
    layout.daemonsPerDomain = 3;
    layout.settings.snapshotInterval = Milliseconds{3'000};
    return layout;
}

} // namespace

class SnapshotTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SnapshotTest);
    CPPUNIT_TEST(incompleteSnapshotIsIgnored);
    CPPUNIT_TEST(snapshotWithoutRetainedTailIsIgnored);
    CPPUNIT_TEST(wrongDigestIsRefusedAndAnOlderSnapshotLoaded);
    CPPUNIT_TEST(newDaemonStartsFromSnapshotAndTail);
    CPPUNIT_TEST(divergedTablesAreReloaded);
    CPPUNIT_TEST_SUITE_END();

public:
    void incompleteSnapshotIsIgnored()
    {
        LoadScene scene;
        scene.addPart(51, 1, 0, 2);
        scene.addPart(51, 1, 1, 2);
        scene.addPart(53, 2, 0, 2);
        scene.run();
        const auto requested = scene.requested();
        CPPUNIT_ASSERT(requested);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{51}, requested->offset);
    }

    void snapshotWithoutRetainedTailIsIgnored()
    {
        LoadScene scene;
        scene.addPart(firstRetained - 1, 1, 0, 1);
        scene.run();
        CPPUNIT_ASSERT(!scene.requested());
        CPPUNIT_ASSERT(scene.node.snapshot.phase == LoadPhase::Seeking);
    }

    void wrongDigestIsRefusedAndAnOlderSnapshotLoaded()
    {
        LoadScene scene;
        scene.addPart(51, digestOf(tablesAt(51)), 0, 1);
        scene.addPart(52, 1, 0, 1);
        const auto entries = scene.read.entries;
        scene.run();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{52}, scene.requested()->offset);
        scene.node.inbox.decodedSnapshot = DecodedSnapshot{52, tablesAt(52)};
        scene.run();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scene.node.counters.snapshotsRefused);
        scene.read.entries = entries;
        scene.run();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{51}, scene.requested()->offset);
        scene.node.inbox.decodedSnapshot = DecodedSnapshot{51, tablesAt(51)};
        scene.run();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{51}, scene.node.tables.position.nextOffset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scene.node.counters.snapshotsLoaded);
    }

    void newDaemonStartsFromSnapshotAndTail()
    {
        Cell cell(smallLayout());
        cell.world.log.faults.retention = Milliseconds{20'000};
        cell.world.killDaemon(0);
        submitJobs(cell, 600);
        cell.world.startDaemon(0);
        cell.pass(Milliseconds{5'000});
        const auto &started = *cell.world.daemons[0].node;
        const auto &other = *cell.world.daemons[1].node;
        CPPUNIT_ASSERT(started.phase == NodePhase::Serving);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, started.counters.snapshotsLoaded);
        CPPUNIT_ASSERT(started.snapshot.isConfirmed);
        CPPUNIT_ASSERT_EQUAL(other.tables.position.nextOffset, started.tables.position.nextOffset);
        CPPUNIT_ASSERT_EQUAL(digestOf(other.tables), digestOf(started.tables));
    }

    void divergedTablesAreReloaded()
    {
        Cell cell(smallLayout());
        submitJobs(cell, 150);
        ++cell.world.daemons[0].node->tables.position.nextAttempt;
        submitJobs(cell, 150);
        cell.pass(Milliseconds{1'000});
        const auto &diverged = *cell.world.daemons[0].node;
        const auto &healthy = *cell.world.daemons[1].node;
        CPPUNIT_ASSERT(diverged.counters.digestMismatches > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, diverged.counters.snapshotsLoaded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, healthy.counters.snapshotsLoaded);
        CPPUNIT_ASSERT_EQUAL(healthy.tables.position.nextOffset, diverged.tables.position.nextOffset);
        CPPUNIT_ASSERT_EQUAL(digestOf(healthy.tables), digestOf(diverged.tables));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotTest);
