/** @file snapshot_test.cpp Loading of snapshots, and repair of tables that went astray. */
#include "core/digest.h"
#include "fakes/cell.h"
#include "fakes/node_probe.h"
#include "systems/systems.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;
using namespace flamingotally::fakes;

namespace
{

constexpr std::uint64_t keptFrom = 50; ///< Oldest record of the log that the fresh node finds.

/** A fresh node whose log has lost its first records. */
struct LoadScene {
    Node node;
    std::uint64_t head = keptFrom;
    LogRead read;

    LoadScene()
    {
        node.settings.name = "self";
        run(); // finds records missing
        run(); // learns where to look
    }

    /** Adds a record with one part of a snapshot. */
    void part(std::uint64_t offset, std::uint64_t digest, std::uint32_t index, std::uint32_t count)
    {
        LogEntry entry;
        entry.offset = head++;
        entry.batch.commands.push_back(SnapshotChunk{offset, digest, index, count, "bytes"});
        read.entries.push_back(std::move(entry));
    }

    void run()
    {
        read.head = head;
        read.firstRetained = keptFrom;
        node.inbox.logReads.push_back(std::exchange(read, {}));
        snapshotSystem(node, tickAt({}));
        node.inbox.logReads.clear();
    }

    /** The snapshot that the node wants decoded. */
    std::optional<EncodedSnapshot> wanted()
    {
        return std::exchange(node.outbox.decodeSnapshot, std::nullopt);
    }
};

/** Digest of empty tables at an offset. */
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
    CPPUNIT_TEST(halfWrittenSnapshotIsIgnored);
    CPPUNIT_TEST(snapshotWhoseTailIsGoneIsIgnored);
    CPPUNIT_TEST(wrongDigestIsRefusedAndTheOlderOneTaken);
    CPPUNIT_TEST(freshDaemonStartsFromSnapshotAndTail);
    CPPUNIT_TEST(tablesThatWentAstrayAreLoadedAnew);
    CPPUNIT_TEST_SUITE_END();

public:
    void halfWrittenSnapshotIsIgnored()
    {
        LoadScene scene;
        scene.part(51, 1, 0, 2);
        scene.part(51, 1, 1, 2);
        scene.part(53, 2, 0, 2);
        scene.run();
        const auto wanted = scene.wanted();
        CPPUNIT_ASSERT(wanted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{51}, wanted->offset);
    }

    void snapshotWhoseTailIsGoneIsIgnored()
    {
        LoadScene scene;
        scene.part(keptFrom - 1, 1, 0, 1);
        scene.run();
        CPPUNIT_ASSERT(!scene.wanted());
        CPPUNIT_ASSERT(scene.node.snapshot.phase == LoadPhase::Seeking);
    }

    void wrongDigestIsRefusedAndTheOlderOneTaken()
    {
        LoadScene scene;
        scene.part(51, digestOf(tablesAt(51)), 0, 1);
        scene.part(52, 1, 0, 1);
        const auto entries = scene.read.entries;
        scene.run();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{52}, scene.wanted()->offset);
        scene.node.inbox.decodedSnapshot = DecodedSnapshot{52, tablesAt(52)};
        scene.run();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scene.node.counters.snapshotsRefused);
        scene.read.entries = entries;
        scene.run();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{51}, scene.wanted()->offset);
        scene.node.inbox.decodedSnapshot = DecodedSnapshot{51, tablesAt(51)};
        scene.run();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{51}, scene.node.tables.position.nextOffset);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scene.node.counters.snapshotsLoaded);
    }

    void freshDaemonStartsFromSnapshotAndTail()
    {
        Cell cell(smallLayout());
        cell.world.log.faults.retention = Milliseconds{20'000};
        cell.world.killDaemon(0);
        submitJobs(cell, 600);
        cell.world.startDaemon(0);
        cell.pass(Milliseconds{5'000});
        const auto &fresh = *cell.world.daemons[0].node;
        const auto &old = *cell.world.daemons[1].node;
        CPPUNIT_ASSERT(fresh.phase == NodePhase::Serving);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fresh.counters.snapshotsLoaded);
        CPPUNIT_ASSERT(fresh.snapshot.isConfirmed);
        CPPUNIT_ASSERT_EQUAL(old.tables.position.nextOffset, fresh.tables.position.nextOffset);
        CPPUNIT_ASSERT_EQUAL(digestOf(old.tables), digestOf(fresh.tables));
    }

    void tablesThatWentAstrayAreLoadedAnew()
    {
        Cell cell(smallLayout());
        submitJobs(cell, 150);
        ++cell.world.daemons[0].node->tables.position.nextAttempt;
        submitJobs(cell, 150);
        cell.pass(Milliseconds{1'000});
        const auto &astray = *cell.world.daemons[0].node;
        const auto &sound = *cell.world.daemons[1].node;
        CPPUNIT_ASSERT(astray.counters.digestMismatches > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, astray.counters.snapshotsLoaded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, sound.counters.snapshotsLoaded);
        CPPUNIT_ASSERT_EQUAL(sound.tables.position.nextOffset, astray.tables.position.nextOffset);
        CPPUNIT_ASSERT_EQUAL(digestOf(sound.tables), digestOf(astray.tables));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SnapshotTest);
