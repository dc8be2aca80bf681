/** @file policy_test.cpp Plans on tables filled by the test: order, placement, gangs, preemption. */
#include "fakes/table_builder.h"
#include "policy/plan_type.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <set>

using namespace flamingotally;

namespace
{

constexpr LogTime start{Milliseconds{1'000'000}}; ///< Time at which the test starts, by the log's clock.
constexpr Resources hugeLimit{1'000'000'000, 1'000'000'000, 1'000'000};

ProfileSpec profile(WorkKind kind, Urgency urgency = Urgency::Normal, bool checkpoint = false)
{
    ProfileSpec spec;
    spec.kind = kind;
    spec.urgency = urgency;
    spec.checkpoint = checkpoint;
    return spec;
}

Resources cores(std::int64_t n, std::int64_t accelerators = 0)
{
    return {n * 1000, n * 1024, accelerators};
}

/** Makes one plan from a builder's tables. */
struct Planning {
    PlanScratch scratch;
    PlannedTasks planned;
    AttemptNumberSet proposedStops;
    TaskKeySet proposedTasks;

    Plan run(const Tables &tables, LogTime now, PolicyKind kind = PolicyKind::Share)
    {
        fillCapacities(scratch.capacities, tables, now);
        fillTeamUse(scratch.teams, tables, scratch.capacities.capacity);
        collectWaiting(scratch.waiting, tables, proposedTasks, now);
        const PlanInput input{tables, planned, proposedStops, now};
        return makePlan(kind, scratch, input);
    }
};

WorkerRef workerOf(const Plan &plan, std::size_t group)
{
    return plan.groups.at(group).placements.front().worker;
}

} // namespace

class PolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PolicyTest);
    CPPUNIT_TEST(urgentGoesFirst);
    CPPUNIT_TEST(teamFurthestBelowItsShareGoesFirst);
    CPPUNIT_TEST(deadlineOrdersWithinATeam);
    CPPUNIT_TEST(fullCellIsDividedByShare);
    CPPUNIT_TEST(limitHoldsWithinAPlan);
    CPPUNIT_TEST(bestFitChoosesTheTightestWorker);
    CPPUNIT_TEST(acceleratorWorkersAreReserved);
    CPPUNIT_TEST(shortWorkMayUseAcceleratorWorkers);
    CPPUNIT_TEST(servicesAreSpreadOverDomains);
    CPPUNIT_TEST(gangIsPlacedInOneRack);
    CPPUNIT_TEST(gangIsPlacedCompletelyOrNotAtAll);
    CPPUNIT_TEST(waitingGangIsNotStarved);
    CPPUNIT_TEST(smallWorkIsPlacedBesideAWaitingGang);
    CPPUNIT_TEST(urgentWorkPreemptsTasksWithCheckpoints);
    CPPUNIT_TEST(tasksWithoutCheckpointsAreNotPreempted);
    CPPUNIT_TEST(capacityBeingReleasedIsClaimedOnce);
    CPPUNIT_TEST(teamAboveItsShareIsPreempted);
    CPPUNIT_TEST(smallWorkOfATeamAboveItsShareWaits);
    CPPUNIT_TEST(ineligibleWorkersGetNoTasks);
    CPPUNIT_TEST(lastFailedWorkerIsAvoided);
    CPPUNIT_TEST(taskInBackoffIsNotPlaced);
    CPPUNIT_TEST(equalTablesGiveEqualPlans);
    CPPUNIT_TEST(noPlanOvercommits);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_builder = TableBuilder{};
        m_north = m_builder.domain("north");
        m_south = m_builder.domain("south");
        m_northRack = m_builder.rack("n1", m_north);
        m_southRack = m_builder.rack("s1", m_south);
        m_team = m_builder.team("blue", 1, hugeLimit);
        m_other = m_builder.team("green", 1, hugeLimit);
    }

    void urgentGoesFirst()
    {
        m_builder.worker(m_northRack, cores(4));
        m_builder.job(m_team, profile(WorkKind::Batch), cores(4), 1, start);
        const auto urgent = m_builder.job(m_team, profile(WorkKind::Request, Urgency::Urgent), cores(4), 1, start);
        const auto plan = Planning{}.run(m_builder.tables, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.groups.size());
        CPPUNIT_ASSERT(plan.groups[0].job == urgent);
        CPPUNIT_ASSERT(plan.hasBlockedWork[static_cast<std::size_t>(Urgency::Normal)]);
    }

    void teamFurthestBelowItsShareGoesFirst()
    {
        const auto worker = m_builder.worker(m_northRack, cores(8));
        const auto running = m_builder.job(m_team, profile(WorkKind::Batch), cores(4), 1, start);
        m_builder.place(m_builder.task(running, 0), worker, start);
        m_builder.job(m_team, profile(WorkKind::Batch), cores(4), 1, start);
        const auto below = m_builder.job(m_other, profile(WorkKind::Batch), cores(4), 1, start + Milliseconds{5});
        const auto plan = Planning{}.run(m_builder.tables, start + Milliseconds{10});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.groups.size());
        CPPUNIT_ASSERT(plan.groups[0].job == below);
    }

    void deadlineOrdersWithinATeam()
    {
        m_builder.worker(m_northRack, cores(4));
        auto bounded = profile(WorkKind::Batch);
        bounded.maxWait = Milliseconds{60'000};
        m_builder.job(m_team, profile(WorkKind::Batch), cores(4), 1, start);
        const auto due = m_builder.job(m_team, bounded, cores(4), 1, start + Milliseconds{5});
        const auto plan = Planning{}.run(m_builder.tables, start + Milliseconds{10});
        CPPUNIT_ASSERT(plan.groups.at(0).job == due);
    }

    void fullCellIsDividedByShare()
    {
        for (int n = 0; n < 10; ++n) {
            m_builder.worker(m_northRack, cores(10));
        }
        const auto heavy = m_builder.team("heavy", 3, hugeLimit);
        m_builder.job(m_team, profile(WorkKind::Batch), cores(1), 100, start);
        m_builder.job(heavy, profile(WorkKind::Batch), cores(1), 100, start);
        Planning planning;
        planning.run(m_builder.tables, start);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{75'000}, planning.scratch.teams.use[heavy.index].cpuMilli);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{25'000}, planning.scratch.teams.use[m_team.index].cpuMilli);
    }

    void limitHoldsWithinAPlan()
    {
        m_builder.worker(m_northRack, cores(64));
        const auto bounded = m_builder.team("bounded", 1, cores(3));
        m_builder.job(bounded, profile(WorkKind::Batch), cores(1), 8, start);
        const auto plan = Planning{}.run(m_builder.tables, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, plan.groups.size());
    }

    void bestFitChoosesTheTightestWorker()
    {
        m_builder.worker(m_northRack, cores(64));
        const auto tight = m_builder.worker(m_northRack, cores(8));
        m_builder.job(m_team, profile(WorkKind::Batch), cores(6), 1, start);
        const auto plan = Planning{}.run(m_builder.tables, start);
        CPPUNIT_ASSERT(workerOf(plan, 0) == tight);
    }

    void acceleratorWorkersAreReserved()
    {
        m_builder.worker(m_northRack, cores(64, 8));
        m_builder.job(m_team, profile(WorkKind::Batch), cores(40), 1, start);
        CPPUNIT_ASSERT(Planning{}.run(m_builder.tables, start).groups.empty());
        const auto plain = m_builder.worker(m_northRack, cores(64));
        const auto plan = Planning{}.run(m_builder.tables, start);
        CPPUNIT_ASSERT(workerOf(plan, 0) == plain);
    }

    void shortWorkMayUseAcceleratorWorkers()
    {
        const auto only = m_builder.worker(m_northRack, cores(64, 8));
        m_builder.job(m_team, profile(WorkKind::Request), cores(40), 1, start);
        const auto plan = Planning{}.run(m_builder.tables, start);
        CPPUNIT_ASSERT(workerOf(plan, 0) == only);
    }

    void servicesAreSpreadOverDomains()
    {
        for (int n = 0; n < 3; ++n) {
            m_builder.worker(m_northRack, cores(64));
            m_builder.worker(m_southRack, cores(64));
        }
        auto spread = profile(WorkKind::Service);
        spread.spread = Spread::Domains;
        m_builder.job(m_team, spread, cores(1), 6, start);
        const auto plan = Planning{}.run(m_builder.tables, start);
        std::map<std::uint32_t, int> byWorker;
        for (const auto &group : plan.groups) {
            ++byWorker[group.placements.front().worker.index];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, byWorker.size());
    }

    void gangIsPlacedInOneRack()
    {
        m_builder.worker(m_northRack, cores(8));
        for (int n = 0; n < 4; ++n) {
            m_builder.worker(m_southRack, cores(8));
        }
        m_builder.job(m_team, profile(WorkKind::Gang), cores(8), 4, start);
        const auto plan = Planning{}.run(m_builder.tables, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.groups.size());
        CPPUNIT_ASSERT(plan.groups[0].allOrNone);
        for (const auto &it : plan.groups[0].placements) {
            CPPUNIT_ASSERT(m_builder.tables.workers.get<WorkerLocation>(it.worker).rack == m_southRack);
        }
    }

    void gangIsPlacedCompletelyOrNotAtAll()
    {
        m_builder.worker(m_northRack, cores(8));
        m_builder.job(m_team, profile(WorkKind::Gang), cores(8), 2, start);
        CPPUNIT_ASSERT(Planning{}.run(m_builder.tables, start).groups.empty());
        m_builder.worker(m_southRack, cores(8));
        const auto plan = Planning{}.run(m_builder.tables, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, plan.groups.at(0).placements.size());
    }

    void waitingGangIsNotStarved()
    {
        const auto one = m_builder.worker(m_northRack, cores(8));
        m_builder.worker(m_northRack, cores(8));
        const auto running = m_builder.job(m_team, profile(WorkKind::Batch), cores(4), 1, start);
        m_builder.place(m_builder.task(running, 0), one, start);
        m_builder.job(m_other, profile(WorkKind::Gang), cores(8), 2, start);
        m_builder.job(m_team, profile(WorkKind::Batch), cores(4), 3, start);
        const auto later = start + Milliseconds{10'000};
        CPPUNIT_ASSERT(Planning{}.run(m_builder.tables, later).groups.empty());
    }

    void smallWorkIsPlacedBesideAWaitingGang()
    {
        for (int n = 0; n < 3; ++n) {
            m_builder.worker(m_northRack, cores(8));
        }
        const auto running = m_builder.job(m_team, profile(WorkKind::Batch), cores(2), 3, start);
        for (std::uint32_t n = 0; n < 3; ++n) {
            m_builder.place(m_builder.task(running, n), m_builder.tables.workers.at(n), start);
        }
        m_builder.job(m_other, profile(WorkKind::Gang), cores(8), 2, start);
        const auto small = m_builder.job(m_team, profile(WorkKind::Batch), cores(1), 20, start);
        const auto plan = Planning{}.run(m_builder.tables, start + Milliseconds{10'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, plan.groups.size());
        for (const auto &group : plan.groups) {
            CPPUNIT_ASSERT(group.job == small);
            CPPUNIT_ASSERT(group.placements.front().worker == plan.groups[0].placements.front().worker);
        }
    }

    void urgentWorkPreemptsTasksWithCheckpoints()
    {
        const auto worker = m_builder.worker(m_northRack, cores(8));
        const auto batch = m_builder.job(m_team, profile(WorkKind::Batch, Urgency::Normal, true), cores(4), 2, start);
        const auto older = m_builder.place(m_builder.task(batch, 0), worker, start);
        const auto newer = m_builder.place(m_builder.task(batch, 1), worker, start + Milliseconds{1});
        m_builder.job(m_other, profile(WorkKind::Request, Urgency::Urgent), cores(4), 1, start + Milliseconds{2});
        const auto plan = Planning{}.run(m_builder.tables, start + Milliseconds{2});
        CPPUNIT_ASSERT(plan.groups.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan.stops.size());
        CPPUNIT_ASSERT(plan.stops[0].attempt == m_builder.tables.attempts.get<AttemptIdentity>(newer).number);
        CPPUNIT_ASSERT(plan.stops[0].attempt != m_builder.tables.attempts.get<AttemptIdentity>(older).number);
    }

    void tasksWithoutCheckpointsAreNotPreempted()
    {
        const auto worker = m_builder.worker(m_northRack, cores(8));
        const auto batch = m_builder.job(m_team, profile(WorkKind::Batch), cores(8), 1, start);
        m_builder.place(m_builder.task(batch, 0), worker, start);
        m_builder.job(m_other, profile(WorkKind::Request, Urgency::Urgent), cores(4), 1, start);
        CPPUNIT_ASSERT(Planning{}.run(m_builder.tables, start + Milliseconds{60'000}).stops.empty());
    }

    void capacityBeingReleasedIsClaimedOnce()
    {
        const auto worker = m_builder.worker(m_northRack, cores(8));
        const auto batch = m_builder.job(m_team, profile(WorkKind::Batch, Urgency::Normal, true), cores(4), 2, start);
        const auto stopped = m_builder.place(m_builder.task(batch, 0), worker, start);
        m_builder.place(m_builder.task(batch, 1), worker, start);
        m_builder.tables.attempts.get<AttemptState>(stopped).stop = StopCause::Preempted;
        m_builder.job(m_other, profile(WorkKind::Request, Urgency::Urgent), cores(4), 1, start);
        CPPUNIT_ASSERT(Planning{}.run(m_builder.tables, start).stops.empty());
        m_builder.job(m_other, profile(WorkKind::Request, Urgency::Urgent), cores(4), 1, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Planning{}.run(m_builder.tables, start).stops.size());
    }

    void teamAboveItsShareIsPreempted()
    {
        const auto worker = m_builder.worker(m_northRack, cores(8));
        const auto batch = m_builder.job(m_team, profile(WorkKind::Batch, Urgency::Normal, true), cores(1), 8, start);
        for (std::uint32_t n = 0; n < 8; ++n) {
            m_builder.place(m_builder.task(batch, n), worker, start);
        }
        m_builder.job(m_other, profile(WorkKind::Batch), cores(1), 8, start);
        const auto early = Planning{}.run(m_builder.tables, start + Milliseconds{500});
        CPPUNIT_ASSERT(early.stops.empty());
        const auto plan = Planning{}.run(m_builder.tables, start + Milliseconds{20'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, plan.stops.size());
    }

    void smallWorkOfATeamAboveItsShareWaits()
    {
        const auto worker = m_builder.worker(m_northRack, cores(8));
        const auto running = m_builder.job(m_team, profile(WorkKind::Batch), cores(4), 1, start);
        m_builder.place(m_builder.task(running, 0), worker, start);
        m_builder.job(m_other, profile(WorkKind::Batch), cores(6), 1, start);
        m_builder.job(m_team, profile(WorkKind::Batch), cores(1), 4, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Planning{}.run(m_builder.tables, start).groups.size());
        CPPUNIT_ASSERT(Planning{}.run(m_builder.tables, start + Milliseconds{1'000}).groups.empty());
    }

    void ineligibleWorkersGetNoTasks()
    {
        const auto worker = m_builder.worker(m_northRack, cores(8));
        m_builder.job(m_team, profile(WorkKind::Batch), cores(1), 1, start);
        auto &tables = m_builder.tables;
        tables.workers.get<WorkerState>(worker).service = WorkerService::Leaving;
        CPPUNIT_ASSERT(Planning{}.run(tables, start).groups.empty());
        tables.workers.get<WorkerState>(worker).service = WorkerService::Live;
        tables.domains.get<DomainState>(m_north).service = DomainService::Out;
        CPPUNIT_ASSERT(Planning{}.run(tables, start).groups.empty());
        tables.domains.get<DomainState>(m_north).service = DomainService::In;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Planning{}.run(tables, start).groups.size());
    }

    void lastFailedWorkerIsAvoided()
    {
        const auto bad = m_builder.worker(m_northRack, cores(2));
        const auto good = m_builder.worker(m_northRack, cores(64));
        const auto job = m_builder.job(m_team, profile(WorkKind::Batch), cores(1), 1, start);
        m_builder.tables.tasks.get<TaskState>(m_builder.task(job, 0)).lastFailedOn = bad;
        CPPUNIT_ASSERT(workerOf(Planning{}.run(m_builder.tables, start), 0) == good);
    }

    void taskInBackoffIsNotPlaced()
    {
        m_builder.worker(m_northRack, cores(8));
        const auto job = m_builder.job(m_team, profile(WorkKind::Batch), cores(1), 1, start);
        m_builder.tables.tasks.get<TaskState>(m_builder.task(job, 0)).notBefore = start + Milliseconds{100};
        Planning planning;
        CPPUNIT_ASSERT(planning.run(m_builder.tables, start).groups.empty());
        CPPUNIT_ASSERT(planning.scratch.waiting.nextBackoffEnd == start + Milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, planning.run(m_builder.tables, start + Milliseconds{100}).groups.size());
    }

    void equalTablesGiveEqualPlans()
    {
        fillAtRandom(7);
        for (std::size_t n = 0; n < enumSize<PolicyKind>; ++n) {
            const auto kind = static_cast<PolicyKind>(n);
            const auto one = Planning{}.run(m_builder.tables, start, kind);
            const auto other = Planning{}.run(m_builder.tables, start, kind);
            CPPUNIT_ASSERT(!one.groups.empty());
            CPPUNIT_ASSERT_EQUAL(one.groups.size(), other.groups.size());
            for (std::size_t group = 0; group < one.groups.size(); ++group) {
                CPPUNIT_ASSERT(workerOf(one, group) == workerOf(other, group));
            }
        }
    }

    void noPlanOvercommits()
    {
        for (std::uint32_t seed = 1; seed <= 20; ++seed) {
            setUp();
            fillAtRandom(seed);
            for (std::size_t n = 0; n < enumSize<PolicyKind>; ++n) {
                checkSums(Planning{}.run(m_builder.tables, start + Milliseconds{5'000}, static_cast<PolicyKind>(n)));
            }
        }
    }

private:
    void fillAtRandom(std::uint32_t seed)
    {
        std::mt19937 random(seed);
        auto draw = [&](std::uint32_t most) {
            return 1 + static_cast<std::int64_t>(random() % most);
        };
        for (int n = 0; n < 10; ++n) {
            m_builder.worker(n % 2 == 0 ? m_northRack : m_southRack, cores(16, n % 3 == 0 ? 8 : 0));
        }
        for (int n = 0; n < 40; ++n) {
            const auto kind = static_cast<WorkKind>(random() % enumSize<WorkKind>);
            const auto urgency = static_cast<Urgency>(random() % enumSize<Urgency>);
            const auto team = n % 2 == 0 ? m_team : m_other;
            m_builder.job(team,
                          profile(kind, urgency, n % 4 == 0),
                          cores(draw(8), n % 5 == 0 ? draw(4) : 0),
                          static_cast<std::uint32_t>(draw(4)),
                          start);
        }
    }

    void checkSums(const Plan &plan) const
    {
        std::map<std::uint32_t, Resources> taken;
        std::set<std::uint64_t> placed;
        for (const auto &group : plan.groups) {
            for (const auto &it : group.placements) {
                CPPUNIT_ASSERT(placed.insert(keyOf(it.task)).second);
                taken[it.worker.index] += m_builder.tables.jobs.get<JobSpec>(group.job).perTask;
            }
        }
        for (const auto &[worker, amount] : taken) {
            CPPUNIT_ASSERT(amount.fitsInto(
                m_builder.tables.workers.get<WorkerCapacity>(m_builder.tables.workers.at(worker)).total));
        }
    }

    TableBuilder m_builder;
    DomainRef m_north;
    DomainRef m_south;
    RackRef m_northRack;
    RackRef m_southRack;
    TeamRef m_team;
    TeamRef m_other;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyTest);
