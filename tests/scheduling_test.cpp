/** @file scheduling_test.cpp Scheduling and housekeeping of one daemon, on tables filled by the test. */
#include "fakes/node_setup.h"
#include "systems/scheduling.h"
#include "systems/systems.h"
#include "systems/worker_health.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;

namespace
{

constexpr Resources hugeLimit{1'000'000'000, 1'000'000'000, 1'000'000};

constexpr Resources cores(std::int64_t n)
{
    return {n * 1000, n * 1024, 0};
}

ProfileSpec profile(WorkKind kind, bool checkpoint = false)
{
    ProfileSpec spec;
    spec.kind = kind;
    spec.checkpoint = checkpoint;
    return spec;
}

} // namespace

class SchedulingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SchedulingTest);
    CPPUNIT_TEST(proposesPlacementsOnItsOwnWorkers);
    CPPUNIT_TEST(proposesNothingTwice);
    CPPUNIT_TEST(proposesNothingOnAStaleView);
    CPPUNIT_TEST(proposesNothingWithoutAHostList);
    CPPUNIT_TEST(avoidsAWorkerThatIsLeavingOnTheHostList);
    CPPUNIT_TEST(takesOverOverduePlacements);
    CPPUNIT_TEST(placesANewJobAtOnce);
    CPPUNIT_TEST(queuesANewJobBehindWaitingWork);
    CPPUNIT_TEST(newJobsShareTheFreeCapacity);
    CPPUNIT_TEST(drainMovesServicesInWaves);
    CPPUNIT_TEST(drainStopsOnlyBatchWithCheckpoints);
    CPPUNIT_TEST(returnedDomainIsFilledGradually);
    CPPUNIT_TEST(withdrawsTasksThatWaitTooLong);
    CPPUNIT_TEST(neverWithdrawsTasksThatMayHaveRun);
    CPPUNIT_TEST(endsTasksThatFailEverywhere);
    CPPUNIT_TEST(stopsOverruns);
    CPPUNIT_TEST(expiresOldJobs);
    CPPUNIT_TEST(setsAsideAWorkerThatFailsEverything);
    CPPUNIT_TEST(jobThatFailsEverywhereSetsNoWorkerAside);
    CPPUNIT_TEST(probedWorkerReturnsToService);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_node = Node{};
        m_builder = TableBuilder{};
        m_north = m_builder.domain("north");
        m_rack = m_builder.rack("n1", m_north);
        m_team = m_builder.team("blue", 1, hugeLimit);
        m_node.settings.name = "self";
        m_node.phase = NodePhase::Serving;
        m_node.view.fresh = true;
        addDaemon("self", m_north);
        m_time = {MonotonicTime{Milliseconds{100'000}}, {}};
    }

    void proposesPlacementsOnItsOwnWorkers()
    {
        const auto south = m_builder.domain("south");
        addDaemon("other", south);
        receiveHeartbeatFrom("other");
        const auto own = m_builder.worker(m_rack, cores(4));
        m_builder.worker(m_builder.rack("s1", south), cores(4));
        addWaiting(cores(4), 2);
        schedule();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placements().size());
        CPPUNIT_ASSERT(placements()[0].worker == own);
    }

    void proposesNothingTwice()
    {
        m_builder.worker(m_rack, cores(8));
        addWaiting(cores(1), 2);
        schedule();
        pass(Milliseconds{500});
        schedule();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, placements().size());
    }

    void proposesNothingOnAStaleView()
    {
        m_builder.worker(m_rack, cores(8));
        addWaiting(cores(1), 2);
        m_node.view.fresh = false;
        schedule();
        m_node.view.fresh = true;
        m_node.phase = NodePhase::Draining;
        schedule();
        CPPUNIT_ASSERT(placements().empty());
    }

    void proposesNothingWithoutAHostList()
    {
        m_builder.worker(m_rack, cores(8));
        addWaiting(cores(1), 2);
        schedulingSystem(m_node, m_time);
        CPPUNIT_ASSERT(placements().empty());
        m_node.hostsReceivedAt = m_time.now - m_node.settings.fence - Milliseconds{1};
        schedulingSystem(m_node, m_time);
        CPPUNIT_ASSERT(placements().empty());
        schedule();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, placements().size());
    }

    void avoidsAWorkerThatIsLeavingOnTheHostList()
    {
        const auto leaving = m_builder.worker(m_rack, cores(8));
        HostRow row;
        row.name = m_builder.tables.workers.get<WorkerIdentity>(leaving).name;
        row.leaving = true;
        m_node.hosts = {row};
        addWaiting(cores(1), 2);
        schedule();
        CPPUNIT_ASSERT(placements().empty());
    }

    void takesOverOverduePlacements()
    {
        const auto south = m_builder.domain("south");
        addDaemon("other", south);
        m_builder.worker(m_builder.rack("s1", south), cores(64));
        addWaiting(cores(1), 16);
        receiveHeartbeatFrom("other");
        schedule();
        CPPUNIT_ASSERT(placements().empty());
        pass(Milliseconds{1'500});
        receiveHeartbeatFrom("other");
        schedule();
        const auto takenOver = placements().size();
        CPPUNIT_ASSERT(takenOver == 0 || takenOver == 16); // Either of the two daemons may be responsible for the job.
        pass(Milliseconds{10'000});
        schedule();
        CPPUNIT_ASSERT_EQUAL(std::size_t{16}, placements().size());
    }

    void placesANewJobAtOnce()
    {
        const auto worker = m_builder.worker(m_rack, cores(4));
        schedule();
        const auto found = planNewJob(m_node, newJob(cores(2), 3), m_team, m_time);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.size());
        CPPUNIT_ASSERT(found[0].worker == worker && found[1].ordinal == 1);
    }

    void queuesANewJobBehindWaitingWork()
    {
        m_builder.worker(m_rack, cores(4));
        addWaiting(cores(5), 1);
        schedule();
        CPPUNIT_ASSERT(planNewJob(m_node, newJob(cores(1), 1), m_team, m_time).empty());
    }

    void newJobsShareTheFreeCapacity()
    {
        m_builder.worker(m_rack, cores(4));
        schedule();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, planNewJob(m_node, newJob(cores(3), 1), m_team, m_time).size());
        CPPUNIT_ASSERT(planNewJob(m_node, newJob(cores(3), 1), m_team, m_time).empty());
    }

    void drainMovesServicesInWaves()
    {
        const auto worker = m_builder.worker(m_rack, cores(8));
        const auto job = m_builder.job(m_team, profile(WorkKind::Service), cores(1), 8, now());
        for (std::uint32_t n = 0; n < 8; ++n) {
            m_builder.place(m_builder.task(job, n), worker, now());
        }
        takeOutOfService(m_north);
        schedule();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stops(StopCause::Drained).size());
        pass(Milliseconds{25'000});
        schedule();
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, stops(StopCause::Drained).size());
    }

    void drainStopsOnlyBatchWithCheckpoints()
    {
        const auto worker = m_builder.worker(m_rack, cores(8));
        const auto movable = m_builder.job(m_team, profile(WorkKind::Batch, true), cores(1), 2, now());
        const auto fixed = m_builder.job(m_team, profile(WorkKind::Batch), cores(1), 2, now());
        for (std::uint32_t n = 0; n < 2; ++n) {
            m_builder.place(m_builder.task(movable, n), worker, now());
            m_builder.place(m_builder.task(fixed, n), worker, now());
        }
        m_builder.tables.workers.get<WorkerState>(worker).service = WorkerService::Leaving;
        schedule();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stops(StopCause::Drained).size());
    }

    void returnedDomainIsFilledGradually()
    {
        m_builder.worker(m_rack, cores(64));
        addWaiting(cores(1), 64);
        auto &domain = m_builder.tables.domains.get<DomainState>(m_north);
        domain.version = 2;
        domain.changedAt = now();
        pass(Milliseconds{1'000});
        schedule();
        const auto placedEarly = placements().size();
        CPPUNIT_ASSERT(placedEarly > 0 && placedEarly < 32);
        pass(Milliseconds{9'000});
        schedule();
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, placements().size());
    }

    void withdrawsTasksThatWaitTooLong()
    {
        auto bounded = profile(WorkKind::Batch);
        bounded.maxWait = Milliseconds{5'000};
        m_builder.job(m_team, bounded, cores(1), 3, now());
        runHousekeeping();
        CPPUNIT_ASSERT(proposalsOf<WithdrawTasks>(m_node).empty());
        pass(Milliseconds{5'000});
        runHousekeeping();
        pass(Milliseconds{1'000});
        runHousekeeping();
        const auto found = proposalsOf<WithdrawTasks>(m_node);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, found[0].tasks.size());
        CPPUNIT_ASSERT(found[0].outcome == Outcome::Withdrawn);
    }

    void neverWithdrawsTasksThatMayHaveRun()
    {
        auto bounded = profile(WorkKind::Batch);
        bounded.maxWait = Milliseconds{5'000};
        const auto job = m_builder.job(m_team, bounded, cores(1), 1, now());
        m_builder.tables.tasks.get<TaskState>(m_builder.task(job, 0)).attempts = 1;
        pass(Milliseconds{60'000});
        runHousekeeping();
        CPPUNIT_ASSERT(proposalsOf<WithdrawTasks>(m_node).empty());
    }

    void endsTasksThatFailEverywhere()
    {
        const auto job = m_builder.job(m_team, profile(WorkKind::Service), cores(1), 1, now());
        auto &task = m_builder.tables.tasks.get<TaskState>(m_builder.task(job, 0));
        task.failures = 5;
        pass(Milliseconds{400'000});
        runHousekeeping();
        // One failure each 80 s on average is not frequent enough.
        CPPUNIT_ASSERT(proposalsOf<WithdrawTasks>(m_node).empty());
        task.failures = 10;
        pass(Milliseconds{1'000});
        runHousekeeping();
        const auto found = proposalsOf<WithdrawTasks>(m_node);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
        CPPUNIT_ASSERT(found[0].outcome == Outcome::Failed);
    }

    void stopsOverruns()
    {
        const auto worker = m_builder.worker(m_rack, cores(8));
        auto bounded = profile(WorkKind::Batch);
        bounded.maxRun = Milliseconds{10'000};
        const auto job = m_builder.job(m_team, bounded, cores(1), 1, now());
        m_builder.place(m_builder.task(job, 0), worker, now());
        runHousekeeping();
        CPPUNIT_ASSERT(stops(StopCause::Overrun).empty());
        pass(Milliseconds{10'000});
        runHousekeeping();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops(StopCause::Overrun).size());
    }

    void expiresOldJobs()
    {
        const auto job = m_builder.job(m_team, profile(WorkKind::Batch), cores(1), 1, now());
        auto &state = m_builder.tables.jobs.get<JobState>(job);
        state.outcome = Outcome::Succeeded;
        state.endedAt = now();
        state.waiting = 0;
        runHousekeeping();
        CPPUNIT_ASSERT(proposalsOf<ExpireRecords>(m_node).empty());
        pass(m_node.settings.jobRetention + Milliseconds{1});
        runHousekeeping();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, proposalsOf<ExpireRecords>(m_node).size());
    }

    void setsAsideAWorkerThatFailsEverything()
    {
        const auto faulty = addFleet();
        addFailures(faulty, 9);
        for (int n = 0; n < 3; ++n) {
            const auto job = m_builder.job(m_team, profile(WorkKind::Batch), cores(1), 1, now());
            failTask(m_builder.task(job, 0), faulty, 1);
        }
        runHousekeeping();
        const auto found = proposalsOf<SetWorkerService>(m_node);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
        CPPUNIT_ASSERT(found[0].worker == faulty && found[0].service == WorkerService::SetAside);
    }

    void jobThatFailsEverywhereSetsNoWorkerAside()
    {
        const auto worker = addFleet();
        addFailures(worker, 9);
        const auto job = m_builder.job(m_team, profile(WorkKind::Batch), cores(1), 9, now());
        for (std::uint32_t n = 0; n < 9; ++n) {
            failTask(m_builder.task(job, n), m_builder.tables.workers.at(n % 3), 1);
        }
        runHousekeeping();
        CPPUNIT_ASSERT(proposalsOf<SetWorkerService>(m_node).empty());
    }

    void probedWorkerReturnsToService()
    {
        const auto worker = m_builder.worker(m_rack, cores(8));
        auto &state = m_builder.tables.workers.get<WorkerState>(worker);
        state.service = WorkerService::SetAside;
        state.changedAt = now();
        auto retried = profile(WorkKind::Batch);
        retried.maxRetries = 2;
        m_builder.job(m_team, retried, cores(1), 5, now());
        schedule();
        CPPUNIT_ASSERT(placements().empty());
        pass(Milliseconds{31'000});
        schedule();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placements().size());
        m_builder.tables.workers.get<WorkerState>(worker).recentEnds = 2;
        runHousekeeping();
        const auto found = proposalsOf<SetWorkerService>(m_node);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
        CPPUNIT_ASSERT(found[0].service == WorkerService::Live);
    }

private:
    LogTime now() const
    {
        return LogTime{m_time.now.time_since_epoch()};
    }

    void pass(Milliseconds time)
    {
        m_time.now += time;
    }

    void addDaemon(const std::string &name, DomainRef domain)
    {
        auto &tables = m_builder.tables;
        tables.lookups.daemons[name] = tables.daemons.insert({name, {}, {}, domain, 0, 1}, {});
    }

    void receiveHeartbeatFrom(const std::string &name)
    {
        Peer peer;
        peer.daemon = name;
        peer.lastReceivedAt = m_time.now;
        m_node.peerByName[name] = m_node.peers.insert(peer);
    }

    JobRef addWaiting(const Resources &perTask, std::uint32_t count)
    {
        return m_builder.job(m_team, profile(WorkKind::Batch), perTask, count, now());
    }

    SubmitJob newJob(const Resources &perTask, std::uint32_t count)
    {
        SubmitJob job;
        job.profile = m_node.tables.profiles.insert({"batch", 1, false}, profile(WorkKind::Batch));
        job.perTask = perTask;
        job.count = count;
        return job;
    }

    /** Adds ten workers, of which all but the first have ended 20 tasks without a failure. @return The first worker. */
    WorkerRef addFleet()
    {
        for (int n = 0; n < 10; ++n) {
            const auto worker = m_builder.worker(m_rack, cores(8));
            m_builder.tables.workers.get<WorkerState>(worker).recentEnds = n == 0 ? 0 : 20;
        }
        return m_builder.tables.workers.at(0);
    }

    /** Counts failed tasks on a worker. */
    void addFailures(WorkerRef worker, std::uint32_t times)
    {
        m_builder.tables.workers.get<WorkerState>(worker).recentEnds += times;
        m_builder.tables.workers.get<WorkerState>(worker).recentFailures += times;
    }

    /** Sets the number of failures of a task, the last of which was on a worker. */
    void failTask(TaskRef task, WorkerRef worker, std::uint32_t times)
    {
        m_builder.tables.tasks.get<TaskState>(task).lastFailedOn = worker;
        m_builder.tables.tasks.get<TaskState>(task).failures = times;
    }

    void takeOutOfService(DomainRef domain)
    {
        auto &state = m_builder.tables.domains.get<DomainState>(domain);
        state.service = DomainService::Out;
        state.changedAt = now();
    }

    /** Copies the builder's tables to the node, as if a record had been applied now. */
    void refresh()
    {
        ++m_builder.tables.position.nextOffset;
        m_node.tables = m_builder.tables;
        m_node.tables.position.time = now();
        m_node.view.entryReceivedAt = m_time.now;
    }

    void schedule()
    {
        m_node.hostsReceivedAt = m_time.now;
        refresh();
        schedulingSystem(m_node, m_time);
    }

    void runHousekeeping()
    {
        refresh();
        housekeepingSystem(m_node, m_time);
    }

    std::vector<Placement> placements() const
    {
        std::vector<Placement> all;
        for (const auto &it : proposalsOf<PlaceTasks>(m_node)) {
            all.insert(all.end(), it.placements.begin(), it.placements.end());
        }
        return all;
    }

    std::vector<AttemptNumber> stops(StopCause cause) const
    {
        std::vector<AttemptNumber> all;
        for (const auto &it : proposalsOf<StopAttempts>(m_node)) {
            if (it.cause == cause) {
                all.insert(all.end(), it.attempts.begin(), it.attempts.end());
            }
        }
        return all;
    }

    Node m_node;
    TableBuilder m_builder;
    DomainRef m_north;
    RackRef m_rack;
    TeamRef m_team;
    TickTime m_time;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SchedulingTest);
