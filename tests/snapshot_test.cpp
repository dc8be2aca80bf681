/** @file snapshot_test.cpp Loading of snapshots, and reloading of tables that diverged from those of other daemons. */
#include "core/digest.h"
#include "fakes/cell.h"
#include "fakes/node_setup.h"
#include "systems/systems.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;
using namespace flamingotally::fakes;

namespace
{

/** Offset of the oldest record that the log still retains when the new node starts. */
constexpr std::uint64_t retainedFrom = 50;

/** A new node that reads a log whose first records are no longer retained. */
struct SnapshotLoadFixture {
    Node node;
    std::uint64_t head = retainedFrom; ///< Offset of the next record.
    LogRead read; ///< Read that the next run() passes to the node.

    SnapshotLoadFixture()
    {
        node.settings.name = "self";
        run(); // The node detects that the first records are missing.
        run(); // The node learns the oldest retained offset.
    }

    /** Appends a record with one chunk of a snapshot to the next read. */
    void appendChunk(std::uint64_t offset, std::uint64_t digest, std::uint32_t index, std::uint32_t count)
    {
        LogEntry entry;
        entry.offset = head++;
        entry.batch.commands.push_back(SnapshotChunk{offset, digest, index, count, "bytes"});
        read.entries.push_back(std::move(entry));
    }

    /** Passes the prepared read to the node and runs the snapshot system once. */
    void run()
    {
        read.head = head;
        read.firstRetained = retainedFrom;
        node.inbox.logReads.push_back(std::exchange(read, {}));
        snapshotSystem(node, tickAt({}));
        node.inbox.logReads.clear();
    }

    /** Takes the request to decode a snapshot from the outbox; returns `std::nullopt` if there is none. */
    std::optional<EncodedSnapshot> takeDecodeRequest()
    {
        return std::exchange(node.outbox.snapshotToDecode, std::nullopt);
    }
};

/** Returns empty tables whose next offset is `offset`. */
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
    CPPUNIT_TEST(ignoresIncompleteSnapshot);
    CPPUNIT_TEST(ignoresSnapshotOlderThanTheLog);
    CPPUNIT_TEST(loadsOlderSnapshotAfterDigestMismatch);
    CPPUNIT_TEST(newDaemonLoadsSnapshotAndLaterRecords);
    CPPUNIT_TEST(reloadsDivergedTables);
    CPPUNIT_TEST_SUITE_END();

public:
    void ignoresIncompleteSnapshot()
    {
        SnapshotLoadFixture fixture;
        fixture.appendChunk(51, 1, 0, 2);
        fixture.appendChunk(51, 1, 1, 2);
        fixture.appendChunk(53, 2, 0, 2);
        fixture.run();
        const auto request = fixture.takeDecodeRequest();
        CPPUNIT_ASSERT(request);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{51}, request->offset);
    }

    void ignoresSnapshotOlderThanTheLog()
    {
        SnapshotLoadFixture fixture;
        fixture.appendChunk(retainedFrom - 1, 1, 0, 1);
        fixture.run();
        CPPUNIT_ASSERT(!fixture.takeDecodeRequest());
        CPPUNIT_ASSERT(fixture.node.snapshot.phase == LoadPhase::Seeking);
    }

    void loadsOlderSnapshotAfterDigestMismatch()
    {
        SnapshotLoadFixture fixture;
        fixture.appendChunk(51, digestOf(tablesAt(51)), 0, 1);
        fixture.appendChunk(52, 1, 0, 1);
        const auto entries = fixture.read.entries;
        fixture.run();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{52}, fixture.takeDecodeRequest()->offset);
        fixture.node.inbox.decodedSnapshot = DecodedSnapshot{52, tablesAt(52)};
        fixture.run();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.node.counters.snapshotsRefused);
        fixture.read.entries = entries;
        fixture.run();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{51}, fixture.takeDecodeRequest()->offset);
        fixture.node.inbox.decodedSnapshot = DecodedSnapshot{51, tablesAt(51)};
        fixture.run();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{51}, fixture.node.tables.position.nextOffset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.node.counters.snapshotsLoaded);
    }

    void newDaemonLoadsSnapshotAndLaterRecords()
    {
        Cell cell(smallLayout());
        cell.world.log.faults.retention = Milliseconds{20'000};
        cell.world.killDaemon(0);
        submitJobs(cell, 600);
        cell.world.startDaemon(0);
        cell.pass(Milliseconds{5'000});
        const auto &restarted = *cell.world.daemons[0].node;
        const auto &running = *cell.world.daemons[1].node;
        CPPUNIT_ASSERT(restarted.phase == NodePhase::Serving);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, restarted.counters.snapshotsLoaded);
        CPPUNIT_ASSERT(restarted.snapshot.isConfirmed);
        CPPUNIT_ASSERT_EQUAL(running.tables.position.nextOffset, restarted.tables.position.nextOffset);
        CPPUNIT_ASSERT_EQUAL(digestOf(running.tables), digestOf(restarted.tables));
    }

    void reloadsDivergedTables()
    {
        Cell cell(smallLayout());
        submitJobs(cell, 150);
        ++cell.world.daemons[0].node->tables.position.nextAttempt;
        submitJobs(cell, 150);
        cell.pass(Milliseconds{1'000});
        const auto &diverged = *cell.world.daemons[0].node;
        const auto &intact = *cell.world.daemons[1].node;
        CPPUNIT_ASSERT(diverged.counters.digestMismatches > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, diverged.counters.snapshotsLoaded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, intact.counters.snapshotsLoaded);
        CPPUNIT_ASSERT_EQUAL(intact.tables.position.nextOffset, diverged.tables.position.nextOffset);
        CPPUNIT_ASSERT_EQUAL(digestOf(intact.tables), digestOf(diverged.tables));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotTest);
