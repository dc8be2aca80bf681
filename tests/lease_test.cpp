/** @file lease_test.cpp Starts, renewals, stops and lease expiry by one daemon, on tables filled by the test. */
#include "fakes/node_setup.h"
#include "systems/systems.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

using namespace flamingotally;

namespace
{

constexpr Resources oneCore{1'000, 1'024, 0};
constexpr Resources manyCores{64'000, 65'536, 0};
constexpr WorkerTime workerStart{Milliseconds{5'000}}; ///< Time by the worker's clock at testStart.
constexpr Milliseconds lease{9'000};
constexpr Milliseconds step{500}; ///< Time between two ticks of runUntil().

/** A daemon "self" that owns one worker on which one attempt was placed. */
struct LeaseScene {
    TableBuilder builder;
    DomainRef domain = builder.domain("north");
    WorkerRef worker = builder.worker(builder.rack("r1", domain), manyCores);
    AttemptRef attempt;
    Node node;
    bool isHostListFresh = true; ///< Whether the node has just received the host list.

    explicit LeaseScene(CutOffRule whenCutOff = CutOffRule::Move)
    {
        addDaemon(builder, "self", domain);
        ProfileSpec profileSpec;
        profileSpec.whenCutOff = whenCutOff;
        profileSpec.lease = lease;
        const auto job = builder.job(builder.team("red", 1, manyCores), profileSpec, oneCore, 1, {});
        attempt = builder.place(builder.task(job, 0), worker, {});
        node = makeServingNode(builder, "self");
    }

    AttemptState &state()
    {
        return node.tables.attempts.get<AttemptState>(attempt);
    }

    /** Runs the lease system with a fresh or stale view. @return The exchanges that it sends. */
    std::vector<WorkerSync> run(Milliseconds at, bool isFresh = true)
    {
        node.view.fresh = isFresh;
        node.hostsReceivedAt = isHostListFresh ? tickAt(at).now : MonotonicTime{};
        leaseSystem(node, tickAt(at));
        return std::exchange(node.outbox.workerSyncs, {});
    }

    /** Delivers a report of the worker. */
    void report(Milliseconds at, std::vector<AttemptNumber> active, std::vector<ReportedEnd> ends = {})
    {
        WorkerReport report;
        report.worker = "worker0";
        report.bootId = 1;
        report.total = manyCores;
        report.clock = workerStart + at;
        report.receivedAt = testStart + at;
        report.active = std::move(active);
        report.ends = std::move(ends);
        node.inbox.workerReports.push_back(std::move(report));
    }

    /** Delivers the failure of an exchange with the worker: of a long poll if `waited`, else of one with orders. */
    void failExchange(bool hadWait)
    {
        WorkerReport report;
        report.worker = "worker0";
        report.failed = true;
        report.hadWait = hadWait;
        node.inbox.workerReports.push_back(std::move(report));
    }

    /** Removes the attempt from the tables, as a record of its end would. */
    void endInTables()
    {
        node.tables.attempts.erase(attempt);
        ++node.tables.position.nextOffset;
        rebuildLookups(node.tables);
    }
};

/** Merges the orders of several exchanges. */
WorkerSync merged(const std::vector<WorkerSync> &syncs)
{
    WorkerSync all;
    for (const auto &it : syncs) {
        all.starts.insert(all.starts.end(), it.starts.begin(), it.starts.end());
        all.renewals.insert(all.renewals.end(), it.renewals.begin(), it.renewals.end());
        all.stops.insert(all.stops.end(), it.stops.begin(), it.stops.end());
        all.ackedReport = std::max(all.ackedReport, it.ackedReport);
    }
    return all;
}

} // namespace

class LeaseTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseTest);
    CPPUNIT_TEST(startBoundsFollowTheWorkersClock);
    CPPUNIT_TEST(staleViewStartsNothing);
    CPPUNIT_TEST(leavingHostStartsNothing);
    CPPUNIT_TEST(loweredLimitRevokesUnstartedAttempts);
    CPPUNIT_TEST(startIsResentUntilReported);
    CPPUNIT_TEST(keptLeaseIsRenewedOnAStaleView);
    CPPUNIT_TEST(movableLeaseNeedsAFreshView);
    CPPUNIT_TEST(markedLeaseIsNotRenewed);
    CPPUNIT_TEST(endIsAcknowledgedOnceItIsInTheLog);
    CPPUNIT_TEST(endIsProposedOnce);
    CPPUNIT_TEST(endedAttemptIsStopped);
    CPPUNIT_TEST(attemptUnknownToTheTablesIsNotStopped);
    CPPUNIT_TEST(domainOutRevokesUnstartedAttempts);
    CPPUNIT_TEST(leaseOnUnreachableWorkerIsMarkedAsLapsing);
    CPPUNIT_TEST(confirmationWaitStartsWhenTheMarkIsRead);
    CPPUNIT_TEST(keptLeaseWaitsForTheWholeDomain);
    CPPUNIT_TEST(lateReportOfAnEarlierBootIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    void startBoundsFollowTheWorkersClock()
    {
        LeaseScene scene;
        scene.run(Milliseconds{0});
        scene.report(Milliseconds{10}, {});
        const auto orders = merged(scene.run(Milliseconds{1'010}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.starts.size());
        const auto latestWorkerTime = workerStart + Milliseconds{1'010};
        CPPUNIT_ASSERT(orders.starts[0].notAfter <= latestWorkerTime + scene.node.settings.startSlack);
        CPPUNIT_ASSERT(orders.starts[0].notAfter > workerStart + scene.node.settings.startSlack);
        CPPUNIT_ASSERT(orders.starts[0].leaseUntil <= latestWorkerTime + lease);
    }

    void staleViewStartsNothing()
    {
        LeaseScene scene;
        scene.run(Milliseconds{0}, false);
        scene.report(Milliseconds{10}, {});
        CPPUNIT_ASSERT(merged(scene.run(Milliseconds{20}, false)).starts.empty());
    }

    void leavingHostStartsNothing()
    {
        LeaseScene scene;
        scene.isHostListFresh = false;
        scene.run(Milliseconds{0});
        scene.report(Milliseconds{10}, {});
        CPPUNIT_ASSERT(merged(scene.run(Milliseconds{20})).starts.empty());
        scene.isHostListFresh = true;
        HostRow row;
        row.name = "worker0";
        row.leaving = true;
        scene.node.hosts = {row};
        CPPUNIT_ASSERT(merged(scene.run(Milliseconds{1'000})).starts.empty());
        scene.node.hosts.front().leaving = false;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, merged(scene.run(Milliseconds{2'000})).starts.size());
    }

    void loweredLimitRevokesUnstartedAttempts()
    {
        LeaseScene scene;
        scene.run(Milliseconds{0});
        scene.report(Milliseconds{10}, {});
        const auto team = scene.node.tables.teams.at(0);
        scene.node.tables.teams.get<TeamPolicy>(team).limit = {};
        const auto orders = merged(scene.run(Milliseconds{20}));
        CPPUNIT_ASSERT(orders.starts.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.stops.size());
        CPPUNIT_ASSERT(orders.stops[0].onlyBeforeStart);
    }

    void startIsResentUntilReported()
    {
        LeaseScene scene;
        scene.run(Milliseconds{0});
        scene.report(Milliseconds{10}, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, merged(scene.run(Milliseconds{20})).starts.size());
        scene.report(Milliseconds{30}, {});
        CPPUNIT_ASSERT(merged(scene.run(Milliseconds{40})).starts.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, merged(scene.run(Milliseconds{1'000})).starts.size());
        scene.report(Milliseconds{1'010}, {1});
        CPPUNIT_ASSERT(merged(scene.run(Milliseconds{2'000})).starts.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scene.node.counters.starts);
    }

    void keptLeaseIsRenewedOnAStaleView()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, renewalsWhenStale(CutOffRule::Keep, false));
    }

    void movableLeaseNeedsAFreshView()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, renewalsWhenStale(CutOffRule::Move, false));
    }

    void markedLeaseIsNotRenewed()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, renewalsWhenStale(CutOffRule::Keep, true));
    }

    void endIsAcknowledgedOnceItIsInTheLog()
    {
        LeaseScene scene;
        scene.run(Milliseconds{0});
        scene.report(Milliseconds{10}, {}, {{1, {1, Outcome::Succeeded, {}}}});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, merged(scene.run(Milliseconds{20})).ackedReport);
        scene.endInTables();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, lastAck(scene, Milliseconds{30}));
    }

    void endIsProposedOnce()
    {
        LeaseScene scene;
        scene.run(Milliseconds{0});
        const std::vector<ReportedEnd> ends{{1, {1, Outcome::Succeeded, {}}}};
        scene.report(Milliseconds{10}, {}, ends);
        scene.run(Milliseconds{20});
        scene.report(Milliseconds{30}, {}, ends);
        scene.run(Milliseconds{40});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proposalsOf<EndAttempts>(scene.node).size());
    }

    void endedAttemptIsStopped()
    {
        LeaseScene scene;
        scene.endInTables();
        scene.run(Milliseconds{0});
        scene.report(Milliseconds{10}, {1});
        const auto orders = merged(scene.run(Milliseconds{20}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.stops.size());
        CPPUNIT_ASSERT_EQUAL(AttemptNumber{1}, orders.stops[0].attempt);
    }

    void attemptUnknownToTheTablesIsNotStopped()
    {
        LeaseScene scene;
        scene.run(Milliseconds{0});
        scene.report(Milliseconds{10}, {1, 2}, {{1, {3, Outcome::Succeeded, {}}}});
        const auto orders = merged(scene.run(Milliseconds{20}));
        CPPUNIT_ASSERT(orders.stops.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, orders.ackedReport);
        CPPUNIT_ASSERT(proposalsOf<EndAttempts>(scene.node).empty());
    }

    void domainOutRevokesUnstartedAttempts()
    {
        LeaseScene scene;
        scene.node.tables.domains.get<DomainState>(scene.domain).service = DomainService::Out;
        scene.run(Milliseconds{0});
        scene.report(Milliseconds{10}, {});
        const auto orders = merged(scene.run(Milliseconds{20}));
        CPPUNIT_ASSERT(orders.starts.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.stops.size());
        CPPUNIT_ASSERT(orders.stops[0].onlyBeforeStart);
    }

    void leaseOnUnreachableWorkerIsMarkedAsLapsing()
    {
        LeaseScene scene;
        scene.run(Milliseconds{0});
        scene.failExchange(false);
        scene.run(Milliseconds{100});
        runUntil(scene, lease);
        CPPUNIT_ASSERT(proposalsOf<MarkLapsing>(scene.node).empty());
        runUntil(scene, lease + Milliseconds{100} + step);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proposalsOf<MarkLapsing>(scene.node).size());
    }

    void confirmationWaitStartsWhenTheMarkIsRead()
    {
        LeaseScene scene;
        scene.state().lapsing = true;
        const auto &settings = scene.node.settings;
        const auto wait = settings.fence + lease + settings.leaseMargin;
        scene.run(Milliseconds{0});
        runUntil(scene, wait - step);
        CPPUNIT_ASSERT(proposalsOf<ConfirmLapsed>(scene.node).empty());
        runUntil(scene, wait + step);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proposalsOf<ConfirmLapsed>(scene.node).size());
    }

    void keptLeaseWaitsForTheWholeDomain()
    {
        LeaseScene scene(CutOffRule::Keep);
        addDaemon(scene.builder, "other", scene.domain);
        scene.node = makeServingNode(scene.builder, "self");
        scene.state().lapsing = true;
        scene.state().lapsingOffset = 7;
        const auto &settings = scene.node.settings;
        const auto wait = settings.fence + lease + settings.leaseMargin;
        recordPeerHeartbeat(scene.node, "other", testStart - settings.peerTimeout * 2, 7);
        scene.run(Milliseconds{0});
        runUntil(scene, wait + step);
        CPPUNIT_ASSERT(proposalsOf<ConfirmLapsed>(scene.node).empty());
        recordPeerHeartbeat(scene.node, "other", testStart - settings.peerTimeout * 2, 8);
        runUntil(scene, 2 * wait - step);
        CPPUNIT_ASSERT(proposalsOf<ConfirmLapsed>(scene.node).empty());
        runUntil(scene, 2 * wait + 3 * step);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proposalsOf<ConfirmLapsed>(scene.node).size());
    }

    void lateReportOfAnEarlierBootIsIgnored()
    {
        LeaseScene scene;
        scene.run(Milliseconds{0});
        scene.report(Milliseconds{10}, {});
        scene.node.inbox.workerReports.back().bootId = 2;
        scene.report(Milliseconds{20}, {});
        scene.run(Milliseconds{30});
        const auto registrations = proposalsOf<RegisterWorker>(scene.node);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registrations.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, registrations[0].bootId);
    }

private:
    /** Runs the system in steps up to a time. */
    static void runUntil(LeaseScene &scene, Milliseconds end)
    {
        for (Milliseconds at{200}; at <= end; at += step) {
            scene.run(at);
        }
    }

    /** Returns the number of renewals of a running attempt while the view is stale. */
    static std::size_t renewalsWhenStale(CutOffRule whenCutOff, bool isMarked)
    {
        LeaseScene scene(whenCutOff);
        scene.run(Milliseconds{0});
        scene.report(Milliseconds{10}, {1});
        scene.state().lapsing = isMarked;
        return merged(scene.run(lease, false)).renewals.size();
    }

    /** Returns the highest acknowledged report in the next exchange with the worker. */
    static std::uint64_t lastAck(LeaseScene &scene, Milliseconds at)
    {
        scene.report(at, {});
        scene.node.inbox.workerReports.back().hadWait = true;
        return merged(scene.run(at + step)).ackedReport;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseTest);
