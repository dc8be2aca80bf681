/** @file recovery_test.cpp Whole cells through faults of daemons, links, workers and the log, judged by the oracle. */
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

constexpr Milliseconds untilStopped{-1};
constexpr Milliseconds lease{5'000}; ///< Of all profiles of a cell.
constexpr Milliseconds settled{10'000}; ///< Longer than a daemon takes to start or to see a link mended.

bool isOneOf(const std::vector<RequestId> &ids, const RequestId &request)
{
    return std::ranges::find(ids, request) != ids.end();
}

/** A cell of three domains whose faults last long, and what is read of it. */
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

    /** Submits a job of one task. @return The id of its request. */
    RequestId submit(std::size_t daemon, std::string_view profile, Milliseconds runTime)
    {
        auto action = cell.makeSubmission(profile, Task{.runTime = runTime});
        action.request = cell.world.makeId();
        action.perTask = {500, 256, 0};
        cell.submit(daemon, testKey(1), action);
        return action.request;
    }

    /** Lets time pass while callers of one daemon submit short work. */
    void work(std::size_t daemon, Milliseconds time)
    {
        constexpr Milliseconds pause{200};
        for (; time > Milliseconds{0}; time -= pause) {
            submit(daemon, "batch", 100ms);
            cell.pass(pause);
        }
    }

    /** Starts services, so that every domain runs some. @return Their ids. */
    std::vector<RequestId> startServices(std::string_view profile, std::size_t count)
    {
        std::vector<RequestId> ids;
        for (std::size_t n = 0; n < count; ++n) {
            ids.push_back(submit(n, profile, untilStopped));
            cell.pass(50ms);
        }
        cell.pass(settled);
        return ids;
    }

    /** Works on without daemon 0, for longer than the log keeps records. */
    void workWithoutFirst()
    {
        cell.world.killDaemon(0);
        work(1, 150s);
    }

    /** Starts daemon 0 with nothing and works on. */
    void startFirst()
    {
        cell.world.startDaemon(0);
        work(1, 2 * settled);
        cell.pass(5s);
    }

    /** Number of runs, of some requests or of all, that are active in a domain. */
    std::size_t activeIn(std::size_t domain, const std::vector<RequestId> *ids = nullptr) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(cell.world.journal.runs, [&](const Run &it) {
            return it.endedAt == notYet && cell.world.domainOfWorker(it.worker) == domain
                && (ids == nullptr || isOneOf(*ids, it.request));
        }));
    }

    /** Number of runs of some requests that are active in all domains. */
    std::size_t active(const std::vector<RequestId> &ids) const
    {
        return activeIn(0, &ids) + activeIn(1, &ids) + activeIn(2, &ids);
    }

    /** Number of runs of some requests that have ended. */
    std::size_t ended(const std::vector<RequestId> &ids) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            cell.world.journal.runs, [&](const Run &it) { return it.endedAt != notYet && isOneOf(ids, it.request); }));
    }

    /** Cuts a domain from the platform, and from the other domains too. */
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

    /** Tells whether a daemon serves with the same tables as another. */
    bool agrees(std::size_t daemon, std::size_t other) const
    {
        const auto &one = node(daemon);
        const auto &two = node(other);
        return one.phase == NodePhase::Serving && one.view.fresh
            && one.tables.position.nextOffset == two.tables.position.nextOffset
            && digestOf(one.tables) == digestOf(two.tables);
    }

    /** Ends all faults and asserts that every promise held and all work ended. */
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
    CPPUNIT_TEST(snapshotCutShortIsPassedOver);
    CPPUNIT_TEST(wrongSnapshotIsRefused);
    CPPUNIT_TEST(snapshotOfTablesThatWentAstrayIsRefused);
    CPPUNIT_TEST(quietLogKeepsASnapshot);
    CPPUNIT_TEST(digestsKeepTheirDistanceAtAnyRate);
    CPPUNIT_TEST(domainCutFromThePlatformStaysFreshThroughPeers);
    CPPUNIT_TEST(domainCutFromAllIsStaleAndKeepsOrMovesByProfile);
    CPPUNIT_TEST(holderPausedPastItsLeaseLosesIt);
    CPPUNIT_TEST(rebootedWorkerGetsItsWorkAnew);
    CPPUNIT_TEST(daemonsThatDiePauseLeaveAndReturn);
    CPPUNIT_TEST(outageOfTheLogEndsNothingThatIsKept);
    CPPUNIT_TEST_SUITE_END();

public:
    void disklessDaemonStartsFromSnapshotAndTail()
    {
        FaultScene scene;
        scene.workWithoutFirst();
        scene.startFirst();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scene.node(0).counters.snapshotsLoaded);
        CPPUNIT_ASSERT(scene.node(0).snapshot.isConfirmed);
        CPPUNIT_ASSERT(scene.agrees(0, 1));
        scene.finish();
    }

    void snapshotCutShortIsPassedOver()
    {
        FaultScene scene;
        scene.workWithoutFirst();
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
        scene.cell.pass(settled);
        const auto serving = scene.cell.world.servingDaemon();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, serving);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scene.node(0).counters.snapshotsLoaded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, scene.node(0).counters.snapshotsRefused);
        scene.finish();
    }

    void wrongSnapshotIsRefused()
    {
        FaultScene scene;
        scene.workWithoutFirst();
        storeSnapshot(scene, scene.cell.world.log.head(), 1, "no tables");
        scene.startFirst();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scene.node(0).counters.snapshotsRefused);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scene.node(0).counters.snapshotsLoaded);
        CPPUNIT_ASSERT(scene.agrees(0, 1));
        scene.finish();
    }

    /** The snapshot is sound in itself, but the peers' digests contradict it. */
    void snapshotOfTablesThatWentAstrayIsRefused()
    {
        FaultScene scene;
        scene.workWithoutFirst();
        auto astray = scene.node(1).tables;
        astray.position.nextAttempt += 1'000;
        storeSnapshot(scene, astray.position.nextOffset, digestOf(astray), encodeTables(astray));
        scene.startFirst();
        CPPUNIT_ASSERT(scene.node(0).counters.snapshotsLoaded > 1);
        CPPUNIT_ASSERT(scene.agrees(0, 1));
        scene.finish();
    }

    void quietLogKeepsASnapshot()
    {
        FaultScene scene(40s, 512 * 1'024); // a third of the retention of the cell's log, in one record
        scene.work(1, 60s);
        for (int n = 0; n < 20; ++n) {
            scene.cell.pass(30s);
            const auto &node = scene.node(1);
            CPPUNIT_ASSERT(node.view.firstRetained <= node.snapshot.newestOffset);
        }
        for (std::size_t n = 0; n < scene.cell.world.daemons.size(); ++n) {
            scene.cell.world.killDaemon(n);
        }
        scene.cell.world.startDaemon(0);
        scene.cell.pass(settled);
        CPPUNIT_ASSERT(scene.node(0).phase == NodePhase::Serving);
        scene.finish();
    }

    void digestsKeepTheirDistanceAtAnyRate()
    {
        Node node;
        for (int n = 0; n < 3'000; ++n) {
            auto &position = node.tables.position;
            const auto before = position.time;
            ++position.nextOffset;
            position.time = LogTime{Milliseconds{10'000 + 2 * n}};
            noteApplied(node, LogEntry{}, before, TickTime{});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, node.digests.size());
    }

    void domainCutFromThePlatformStaysFreshThroughPeers()
    {
        FaultScene scene;
        scene.startServices("service", 12);
        const auto before = scene.activeIn(0);
        CPPUNIT_ASSERT(before > 0);
        scene.cut(0, false);
        scene.cell.pass(settled);
        scene.work(2, 60s);
        CPPUNIT_ASSERT(scene.node(0).view.fresh);
        CPPUNIT_ASSERT(scene.node(1).view.fresh);
        CPPUNIT_ASSERT_EQUAL(before, scene.activeIn(0));
        scene.finish();
    }

    void domainCutFromAllIsStaleAndKeepsOrMovesByProfile()
    {
        FaultScene scene;
        const auto kept = scene.startServices("kept", 9);
        const auto moved = scene.startServices("service", 9);
        const auto keptBefore = scene.activeIn(0, &kept);
        const auto movedBefore = scene.activeIn(0, &moved);
        CPPUNIT_ASSERT(keptBefore > 0 && movedBefore > 0);
        scene.cut(0, true);
        scene.cell.pass(4s);
        CPPUNIT_ASSERT(!scene.node(0).view.fresh);
        scene.work(2, 60s);
        CPPUNIT_ASSERT_EQUAL(keptBefore, scene.activeIn(0, &kept));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scene.activeIn(0, &moved));
        const auto elsewhere = scene.activeIn(1, &moved) + scene.activeIn(2, &moved);
        CPPUNIT_ASSERT_EQUAL(moved.size(), elsewhere);
        scene.finish();
    }

    void holderPausedPastItsLeaseLosesIt()
    {
        FaultScene scene;
        const auto ids = scene.startServices("service", 12);
        const auto before = scene.activeIn(0, &ids);
        CPPUNIT_ASSERT(before > 0);
        scene.cell.world.pauseDaemon(0, false);
        scene.cell.world.pauseDaemon(1, true);
        scene.work(2, 4 * lease);
        CPPUNIT_ASSERT(scene.activeIn(1, &ids) + scene.activeIn(2, &ids) >= ids.size() - before);
        scene.cell.world.resumeDaemon(0);
        scene.cell.world.resumeDaemon(1);
        scene.work(2, 2 * settled);
        CPPUNIT_ASSERT_EQUAL(ids.size(), scene.active(ids));
        scene.finish();
    }

    void rebootedWorkerGetsItsWorkAnew()
    {
        FaultScene scene;
        const auto ids = scene.startServices("service", 12);
        scene.cell.world.killWorker(0);
        scene.cell.pass(1s);
        scene.cell.world.bootWorker(0);
        scene.work(2, settled);
        CPPUNIT_ASSERT_EQUAL(ids.size(), scene.active(ids));
        scene.finish();
    }

    void daemonsThatDiePauseLeaveAndReturn()
    {
        FaultScene scene;
        const auto ids = scene.startServices("service", 12);
        auto &world = scene.cell.world;
        world.killDaemon(0);
        scene.work(2, settled);
        world.startDaemon(0);
        world.stopDaemon(1);
        scene.work(2, 40s);
        CPPUNIT_ASSERT(world.daemons[1].state == ProcessState::Down);
        world.startDaemon(1);
        world.pauseDaemon(3, false);
        scene.work(2, settled);
        world.resumeDaemon(3);
        scene.work(2, settled);
        for (std::size_t n = 0; n < world.daemons.size(); ++n) {
            CPPUNIT_ASSERT(scene.node(n).phase == NodePhase::Serving);
            CPPUNIT_ASSERT(scene.node(n).view.fresh);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scene.ended(ids));
        scene.finish();
    }

    void outageOfTheLogEndsNothingThatIsKept()
    {
        FaultScene scene;
        const auto ids = scene.startServices("kept", 12);
        scene.cell.world.setLogMode(LogMode::Silent);
        scene.work(2, 300s);
        CPPUNIT_ASSERT(!scene.node(2).view.fresh);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scene.ended(ids));
        scene.cell.world.setLogMode(LogMode::Up);
        scene.work(2, 2 * settled);
        for (std::size_t n = 0; n < scene.cell.world.daemons.size(); ++n) {
            CPPUNIT_ASSERT(scene.node(n).phase == NodePhase::Serving);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scene.ended(ids));
        scene.finish();
    }

private:
    /** Puts a snapshot of one part into the log as a daemon would. */
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
