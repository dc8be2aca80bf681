/** @file recovery_test.cpp Cells with faults of daemons, links, workers and the log, checked by the oracle. */
#include "codec/cereal_codec.h"
#include "core/digest.h"
#include "fakes/cell.h"
#include "systems/snapshot_work.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace flamingotally;
using namespace flamingotally::fakes;
using namespace std::chrono_literals;

namespace
{

constexpr Milliseconds untilStopped{-1}; ///< Run time of tasks that run until they are stopped.
constexpr Milliseconds lease{5'000}; ///< Lease of all profiles of a cell.
/** Longer than a daemon takes to start or to detect that a link works again. */
constexpr Milliseconds settleTime{10'000};

bool isOneOf(const std::vector<RequestId> &ids, const RequestId &request)
{
    return std::ranges::find(ids, request) != ids.end();
}

/** A cell of three failure domains, with functions to cause long faults and to inspect the cell. */
struct FaultScene {
    explicit FaultScene(Milliseconds snapshotInterval = 5s, std::uint64_t chunkBytes = 1'024)
        : cell(layoutOf(snapshotInterval, chunkBytes))
    {
    }

    static WorldLayout layoutOf(Milliseconds snapshotInterval, std::uint64_t chunkBytes)
    {
        WorldLayout layout;
        layout.settings.snapshotInterval = snapshotInterval;
        layout.settings.snapshotChunkBytes = chunkBytes;
        return layout;
    }

    /** Submits a job of one task. @return The request id. */
    RequestId submit(std::size_t daemon, std::string_view profile, Milliseconds runTime)
    {
        auto action = cell.makeSubmission(profile, Task{.runTime = runTime});
        action.request = cell.world.makeId();
        action.perTask = {500, 256, 0};
        cell.submit(daemon, testKey(1), action);
        return action.request;
    }

    /** Lets time pass while short jobs are submitted at one daemon. */
    void submitWork(std::size_t daemon, Milliseconds time)
    {
        constexpr Milliseconds pause{200};
        for (; time > Milliseconds{0}; time -= pause) {
            submit(daemon, "batch", 100ms);
            cell.pass(pause);
        }
    }

    /** Starts services, so that every failure domain runs some. @return Their request ids. */
    std::vector<RequestId> startServices(std::string_view profile, std::size_t count)
    {
        std::vector<RequestId> ids;
        for (std::size_t n = 0; n < count; ++n) {
            ids.push_back(submit(n, profile, untilStopped));
            cell.pass(50ms);
        }
        cell.pass(settleTime);
        return ids;
    }

    /** Kills daemon 0, then submits work to daemon 1 for longer than the log retains records. */
    void submitWorkWithoutDaemon0()
    {
        cell.world.killDaemon(0);
        submitWork(1, 150s);
    }

    /** Starts daemon 0 with empty tables and submits more work. */
    void restartDaemon0()
    {
        cell.world.startDaemon(0);
        submitWork(1, 2 * settleTime);
        cell.pass(5s);
    }

    /** Returns the number of active runs in a failure domain, of some requests or of all. */
    std::size_t activeRunsIn(std::size_t domain, const std::vector<RequestId> *ids = nullptr) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(cell.world.journal.runs, [&](const Run &it) {
            return it.endedAt == notYet && cell.world.domainOfWorker(it.worker) == domain
                && (ids == nullptr || isOneOf(*ids, it.request));
        }));
    }

    /** Returns the number of active runs of some requests in all failure domains. */
    std::size_t activeRuns(const std::vector<RequestId> &ids) const
    {
        return activeRunsIn(0, &ids) + activeRunsIn(1, &ids) + activeRunsIn(2, &ids);
    }

    /** Returns the number of ended runs of some requests. */
    std::size_t endedRuns(const std::vector<RequestId> &ids) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            cell.world.journal.runs, [&](const Run &it) { return it.endedAt != notYet && isOneOf(ids, it.request); }));
    }

    /** Cuts the links of a failure domain to the platform and optionally to the other domains. */
    void cut(std::size_t domain, bool fromPeers)
    {
        cell.world.setCut(domain, cell.world.platform(), true);
        for (std::size_t n = 0; fromPeers && n < cell.world.layout().domains; ++n) {
            if (n != domain) {
                cell.world.setCut(domain, n, true);
            }
        }
    }

    const Node &node(std::size_t daemon) const
    {
        CPPUNIT_ASSERT(cell.world.daemons[daemon].node);
        return *cell.world.daemons[daemon].node;
    }

    /** Returns true if a daemon serves with a fresh view and the same tables as another daemon. */
    bool hasSameTables(std::size_t daemon, std::size_t other) const
    {
        const auto &one = node(daemon);
        const auto &two = node(other);
        return one.phase == NodePhase::Serving && one.view.fresh
            && one.tables.position.nextOffset == two.tables.position.nextOffset
            && digestOf(one.tables) == digestOf(two.tables);
    }

    /** Ends all faults and asserts that no invariant was violated and all work has ended. */
    void finish()
    {
        cell.finish();
        CPPUNIT_ASSERT_EQUAL(std::string{}, cell.verdict());
    }

    Cell cell;
};

} // namespace

class RecoveryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RecoveryTest);
    CPPUNIT_TEST(disklessDaemonStartsFromSnapshotAndTail);
    CPPUNIT_TEST(incompleteSnapshotIsIgnored);
    CPPUNIT_TEST(wrongSnapshotIsRefused);
    CPPUNIT_TEST(snapshotOfDivergedTablesIsRefused);
    CPPUNIT_TEST(quietLogRetainsASnapshot);
    CPPUNIT_TEST(digestIntervalIsIndependentOfTheRecordRate);
    CPPUNIT_TEST(domainWithoutPlatformStaysFreshThroughPeers);
    CPPUNIT_TEST(isolatedDomainIsStaleAndKeepsOrMovesWorkByProfile);
    CPPUNIT_TEST(pausedDaemonsLoseTheirLeases);
    CPPUNIT_TEST(rebootedWorkerGetsItsWorkAgain);
    CPPUNIT_TEST(daemonsSurviveKillPauseStopAndRestart);
    CPPUNIT_TEST(logOutageEndsNoKeptService);
    CPPUNIT_TEST_SUITE_END();

public:
    void disklessDaemonStartsFromSnapshotAndTail()
    {
        FaultScene scene;
        scene.submitWorkWithoutDaemon0();
        scene.restartDaemon0();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scene.node(0).counters.snapshotsLoaded);
        CPPUNIT_ASSERT(scene.node(0).snapshot.isConfirmed);
        CPPUNIT_ASSERT(scene.hasSameTables(0, 1));
        scene.finish();
    }

    void incompleteSnapshotIsIgnored()
    {
        FaultScene scene;
        scene.submitWorkWithoutDaemon0();
        auto &daemons = scene.cell.world.daemons;
        const auto isWriting = [](const FakeDaemon &it) {
            return it.node && it.node->snapshot.toPropose.size() > 1 && it.node->snapshot.proposal.isSet();
        };
        auto writer = daemons.end();
        for (int n = 0; n < 6'000 && writer == daemons.end(); ++n) {
            scene.cell.pass(10ms);
            if (n % 20 == 0) {
                scene.submit(1, "batch", 100ms);
            }
            writer = std::ranges::find_if(daemons, isWriting);
        }
        CPPUNIT_ASSERT(writer != daemons.end());
        scene.cell.world.killDaemon(static_cast<std::size_t>(writer - daemons.begin()));
        scene.cell.world.startDaemon(0);
        scene.cell.pass(settleTime);
        const auto serving = scene.cell.world.servingDaemon();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, serving);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scene.node(0).counters.snapshotsLoaded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, scene.node(0).counters.snapshotsRefused);
        scene.finish();
    }

    void wrongSnapshotIsRefused()
    {
        FaultScene scene;
        scene.submitWorkWithoutDaemon0();
        storeSnapshot(scene, scene.cell.world.log.head(), 1, "no tables");
        scene.restartDaemon0();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scene.node(0).counters.snapshotsRefused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scene.node(0).counters.snapshotsLoaded);
        CPPUNIT_ASSERT(scene.hasSameTables(0, 1));
        scene.finish();
    }

    /** The snapshot is valid in itself, but the digests of the peers do not match it. */
    void snapshotOfDivergedTablesIsRefused()
    {
        FaultScene scene;
        scene.submitWorkWithoutDaemon0();
        auto diverged = scene.node(1).tables;
        diverged.position.nextAttempt += 1'000;
        storeSnapshot(scene, diverged.position.nextOffset, digestOf(diverged), encodeTables(diverged));
        scene.restartDaemon0();
        CPPUNIT_ASSERT(scene.node(0).counters.snapshotsLoaded > 1);
        CPPUNIT_ASSERT(scene.hasSameTables(0, 1));
        scene.finish();
    }

    void quietLogRetainsASnapshot()
    {
        FaultScene scene(40s, 512 * 1'024); // one third of the retention of the cell's log, in one record
        scene.submitWork(1, 60s);
        for (int n = 0; n < 20; ++n) {
            scene.cell.pass(30s);
            const auto &node = scene.node(1);
            CPPUNIT_ASSERT(node.view.firstRetained <= node.snapshot.newestOffset);
        }
        for (std::size_t n = 0; n < scene.cell.world.daemons.size(); ++n) {
            scene.cell.world.killDaemon(n);
        }
        scene.cell.world.startDaemon(0);
        scene.cell.pass(settleTime);
        CPPUNIT_ASSERT(scene.node(0).phase == NodePhase::Serving);
        scene.finish();
    }

    void digestIntervalIsIndependentOfTheRecordRate()
    {
        Node node;
        for (int n = 0; n < 3'000; ++n) {
            auto &position = node.tables.position;
            const auto before = position.time;
            ++position.nextOffset;
            position.time = LogTime{Milliseconds{10'000 + 2 * n}};
            onRecordApplied(node, LogEntry{}, before, TickTime{});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, node.digests.size());
    }

    void domainWithoutPlatformStaysFreshThroughPeers()
    {
        FaultScene scene;
        scene.startServices("service", 12);
        const auto before = scene.activeRunsIn(0);
        CPPUNIT_ASSERT(before > 0);
        scene.cut(0, false);
        scene.cell.pass(settleTime);
        scene.submitWork(2, 60s);
        CPPUNIT_ASSERT(scene.node(0).view.fresh);
        CPPUNIT_ASSERT(scene.node(1).view.fresh);
        CPPUNIT_ASSERT_EQUAL(before, scene.activeRunsIn(0));
        scene.finish();
    }

    void isolatedDomainIsStaleAndKeepsOrMovesWorkByProfile()
    {
        FaultScene scene;
        const auto keptServices = scene.startServices("kept", 9);
        const auto movedServices = scene.startServices("service", 9);
        const auto keptCountBefore = scene.activeRunsIn(0, &keptServices);
        const auto movedCountBefore = scene.activeRunsIn(0, &movedServices);
        CPPUNIT_ASSERT(keptCountBefore > 0 && movedCountBefore > 0);
        scene.cut(0, true);
        scene.cell.pass(4s);
        CPPUNIT_ASSERT(!scene.node(0).view.fresh);
        scene.submitWork(2, 60s);
        CPPUNIT_ASSERT_EQUAL(keptCountBefore, scene.activeRunsIn(0, &keptServices));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scene.activeRunsIn(0, &movedServices));
        const auto elsewhere = scene.activeRunsIn(1, &movedServices) + scene.activeRunsIn(2, &movedServices);
        CPPUNIT_ASSERT_EQUAL(movedServices.size(), elsewhere);
        scene.finish();
    }

    void pausedDaemonsLoseTheirLeases()
    {
        FaultScene scene;
        const auto ids = scene.startServices("service", 12);
        const auto before = scene.activeRunsIn(0, &ids);
        CPPUNIT_ASSERT(before > 0);
        scene.cell.world.pauseDaemon(0, false);
        scene.cell.world.pauseDaemon(1, true);
        scene.submitWork(2, 4 * lease);
        CPPUNIT_ASSERT(scene.activeRunsIn(1, &ids) + scene.activeRunsIn(2, &ids) >= ids.size() - before);
        scene.cell.world.resumeDaemon(0);
        scene.cell.world.resumeDaemon(1);
        scene.submitWork(2, 2 * settleTime);
        CPPUNIT_ASSERT_EQUAL(ids.size(), scene.activeRuns(ids));
        scene.finish();
    }

    void rebootedWorkerGetsItsWorkAgain()
    {
        FaultScene scene;
        const auto ids = scene.startServices("service", 12);
        scene.cell.world.killWorker(0);
        scene.cell.pass(1s);
        scene.cell.world.bootWorker(0);
        scene.submitWork(2, settleTime);
        CPPUNIT_ASSERT_EQUAL(ids.size(), scene.activeRuns(ids));
        scene.finish();
    }

    void daemonsSurviveKillPauseStopAndRestart()
    {
        FaultScene scene;
        const auto ids = scene.startServices("service", 12);
        auto &world = scene.cell.world;
        world.killDaemon(0);
        scene.submitWork(2, settleTime);
        world.startDaemon(0);
        world.stopDaemon(1);
        scene.submitWork(2, 40s);
        CPPUNIT_ASSERT(world.daemons[1].state == ProcessState::Down);
        world.startDaemon(1);
        world.pauseDaemon(3, false);
        scene.submitWork(2, settleTime);
        world.resumeDaemon(3);
        scene.submitWork(2, settleTime);
        for (std::size_t n = 0; n < world.daemons.size(); ++n) {
            CPPUNIT_ASSERT(scene.node(n).phase == NodePhase::Serving);
            CPPUNIT_ASSERT(scene.node(n).view.fresh);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scene.endedRuns(ids));
        scene.finish();
    }

    void logOutageEndsNoKeptService()
    {
        FaultScene scene;
        const auto ids = scene.startServices("kept", 12);
        scene.cell.world.setLogMode(LogMode::Silent);
        scene.submitWork(2, 300s);
        CPPUNIT_ASSERT(!scene.node(2).view.fresh);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scene.endedRuns(ids));
        scene.cell.world.setLogMode(LogMode::Up);
        scene.submitWork(2, 2 * settleTime);
        for (std::size_t n = 0; n < scene.cell.world.daemons.size(); ++n) {
            CPPUNIT_ASSERT(scene.node(n).phase == NodePhase::Serving);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scene.endedRuns(ids));
        scene.finish();
    }

private:
    /** Appends a snapshot of one part to the log, as a daemon would. */
    static void storeSnapshot(FaultScene &scene, std::uint64_t offset, std::uint64_t digest, const std::string &bytes)
    {
        Batch batch;
        batch.recordVersion = scene.node(1).tables.position.recordVersion;
        batch.daemon = "astray";
        batch.commands.push_back(SnapshotChunk{offset, digest, 0, 1, bytes});
        scene.cell.world.log.store(batch);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecoveryTest);
