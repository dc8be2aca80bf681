/** @file membership_test.cpp Heartbeats, the age of the view, and proposals that follow from the host list. */
#include "fakes/node_setup.h"
#include "systems/freshness.h"
#include "systems/systems.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;

namespace
{

constexpr Milliseconds lateArrival{60'000}; ///< When a delayed heartbeat arrives, since testStart.

/** Two daemons "self" and "other", and a worker. */
struct MemberScene {
    TableBuilder builder;
    DomainRef domain = builder.domain("north");
    WorkerRef worker = builder.worker(builder.rack("r1", domain), {64'000, 65'536, 0});
    Node node;

    MemberScene()
    {
        addDaemon(builder, "self", domain);
        addDaemon(builder, "other", domain);
        node = makeServingNode(builder, "self");
    }

    /**
     * Delivers a heartbeat of "other" with evidence of the head of the log from the time of sending.
     * @param sentAt When it was sent, by the clock of "other".
     * @param echoSentAt When this node had sent the echoed heartbeat, since testStart.
     * @param arrivesAt When it arrives, since testStart.
     * @param head The head of the log.
     */
    void receiveHeartbeat(Milliseconds sentAt, Milliseconds echoSentAt, Milliseconds arrivesAt, std::uint64_t head)
    {
        Heartbeat heartbeat;
        heartbeat.daemon = "other";
        heartbeat.incarnation = 1;
        heartbeat.head = head;
        heartbeat.sentAt = sentAt;
        heartbeat.echoIncarnation = 1;
        heartbeat.echoSentAt = (testStart + echoSentAt).time_since_epoch();
        node.inbox.heartbeats.push_back({heartbeat, testStart + arrivesAt});
    }

    void receiveHostList(std::vector<HostRow> hosts)
    {
        node.inbox.hostLists.push_back({std::move(hosts), false});
    }

    HostRow row(const std::string &name, HostRole role) const
    {
        return {name, name + ":1", "north", "r1", role, false};
    }

    void run(Milliseconds at)
    {
        membershipSystem(node, tickAt(at));
    }
};

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(peersEvidenceKeepsTheViewFresh);
    CPPUNIT_TEST(delayedEvidenceIsOld);
    CPPUNIT_TEST(evidenceCountsOnceItsRecordsAreApplied);
    CPPUNIT_TEST(echoOfAnotherIncarnationIsIgnored);
    CPPUNIT_TEST(viewIsStaleAtTheFence);
    CPPUNIT_TEST(failedReadsBackOff);
    CPPUNIT_TEST(recordsAreFetchedFromAPeerThatIsAheadWhileTheLogIsUnreachable);
    CPPUNIT_TEST(emptyHostListIsIgnored);
    CPPUNIT_TEST(leavingWorkerIsProposedOnce);
    CPPUNIT_TEST(unreachableDaemonStaysWhileItsHostIsListed);
    CPPUNIT_TEST(unreachableDaemonWithoutHostIsRemoved);
    CPPUNIT_TEST(removedDaemonJoinsAgainAsANewIncarnation);
    CPPUNIT_TEST_SUITE_END();

public:
    void peersEvidenceKeepsTheViewFresh()
    {
        MemberScene scene;
        scene.receiveHeartbeat(Milliseconds{9'000}, Milliseconds{8'990}, Milliseconds{9'001}, 0);
        scene.run(Milliseconds{9'001});
        CPPUNIT_ASSERT(scene.node.view.fresh);
        CPPUNIT_ASSERT(scene.node.view.freshAt == testStart + Milliseconds{8'990});
    }

    void delayedEvidenceIsOld()
    {
        MemberScene scene;
        scene.receiveHeartbeat(Milliseconds{10}, Milliseconds{5}, lateArrival, 0);
        scene.run(lateArrival);
        CPPUNIT_ASSERT(!scene.node.view.fresh);
        CPPUNIT_ASSERT(scene.node.view.freshAt <= testStart + Milliseconds{5});
    }

    void evidenceCountsOnceItsRecordsAreApplied()
    {
        MemberScene scene;
        scene.receiveHeartbeat(Milliseconds{9'000}, Milliseconds{8'990}, Milliseconds{9'001}, 3);
        scene.run(Milliseconds{9'001});
        CPPUNIT_ASSERT(!scene.node.view.fresh);
        scene.node.tables.position.nextOffset = 3;
        updateFreshness(scene.node, tickAt(Milliseconds{9'010}));
        CPPUNIT_ASSERT(scene.node.view.fresh);
    }

    void echoOfAnotherIncarnationIsIgnored()
    {
        MemberScene scene;
        scene.receiveHeartbeat(Milliseconds{9'000}, Milliseconds{8'990}, Milliseconds{9'001}, 0);
        scene.node.inbox.heartbeats.back().heartbeat.echoIncarnation = 9;
        scene.run(Milliseconds{9'001});
        CPPUNIT_ASSERT(!scene.node.view.fresh);
    }

    void viewIsStaleAtTheFence()
    {
        MemberScene scene;
        updateFreshness(scene.node, tickAt(scene.node.settings.fence - Milliseconds{1}));
        CPPUNIT_ASSERT(scene.node.view.fresh);
        updateFreshness(scene.node, tickAt(scene.node.settings.fence));
        CPPUNIT_ASSERT(!scene.node.view.fresh);
    }

    void failedReadsBackOff()
    {
        MemberScene scene;
        scene.node.view.reading = true;
        LogRead read;
        read.failed = true;
        scene.node.inbox.logReads.push_back(read);
        freshnessSystem(scene.node, tickAt(Milliseconds{1}));
        CPPUNIT_ASSERT(!scene.node.outbox.readFrom);
        CPPUNIT_ASSERT(scene.node.view.nextReadAt > testStart + Milliseconds{1});
        freshnessSystem(scene.node, tickAt(Milliseconds{2'000}));
        CPPUNIT_ASSERT(scene.node.outbox.readFrom);
    }

    void recordsAreFetchedFromAPeerThatIsAheadWhileTheLogIsUnreachable()
    {
        MemberScene scene;
        scene.node.view.lastReadFailed = true;
        recordPeerHeartbeat(scene.node, "other", testStart, 5);
        freshnessSystem(scene.node, tickAt(Milliseconds{1}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, scene.node.outbox.recordFetches.size());
        CPPUNIT_ASSERT_EQUAL(std::string("other:1"), scene.node.outbox.recordFetches[0].address);
    }

    void emptyHostListIsIgnored()
    {
        MemberScene scene;
        scene.receiveHostList({});
        scene.run(Milliseconds{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, scene.node.proposals.size());
    }

    void leavingWorkerIsProposedOnce()
    {
        MemberScene scene;
        auto leaving = scene.row("worker0", HostRole::Worker);
        leaving.leaving = true;
        for (const auto at : {Milliseconds{1}, Milliseconds{2}}) {
            scene.receiveHostList({leaving});
            scene.run(at);
        }
        const auto changes = proposalsOf<SetWorkerService>(scene.node);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT(changes[0].service == WorkerService::Leaving);
    }

    void unreachableDaemonStaysWhileItsHostIsListed()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, removalsOfUnreachableDaemon(true));
    }

    void unreachableDaemonWithoutHostIsRemoved()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, removalsOfUnreachableDaemon(false));
    }

    void removedDaemonJoinsAgainAsANewIncarnation()
    {
        MemberScene scene;
        scene.node.tables.daemons.erase(findRef(scene.node.tables.lookups.daemons, std::string("self")));
        rebuildLookups(scene.node.tables);
        scene.run(Milliseconds{1});
        scene.run(Milliseconds{2});
        const auto joins = proposalsOf<JoinDaemon>(scene.node);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, joins.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, joins[0].incarnation);
    }

private:
    /**
     * Returns the number of proposals to remove a daemon that never sent a heartbeat, after its host has been listed or
     * missing for a long time.
     */
    static std::size_t removalsOfUnreachableDaemon(bool isListed)
    {
        MemberScene scene;
        for (const auto at : {Milliseconds{1}, Milliseconds{30'000}}) {
            scene.receiveHostList(
                {scene.row("self", HostRole::Entry), scene.row(isListed ? "other" : "third", HostRole::Entry)});
            scene.run(at);
        }
        return proposalsOf<LeaveDaemon>(scene.node).size();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);
