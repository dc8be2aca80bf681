/** @file dispatch_latency_test.cpp Tests that callers and placements wait no longer than necessary. */
#include "dispatch_fixture.h"

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

namespace
{

constexpr Milliseconds longPause{3'600'000}; ///< Longer than any test runs.

} // namespace

class DispatchLatencyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchLatencyTest);
    CPPUNIT_TEST(reportsAStateNoOlderThanTheRequest);
    CPPUNIT_TEST(reportsTheLastKnownStateWhileTheStoreDoesNotRespond);
    CPPUNIT_TEST(requestsAdviceForTheNextStepBeforeItOpens);
    CPPUNIT_TEST(reservesARelayForShortRequestsWhenOthersFail);
    CPPUNIT_TEST(requestsAdviceWhileManyRequestsAreOpen);
    CPPUNIT_TEST(evaluatesNoWorkersForGroupsWithoutAValidTicket);
    CPPUNIT_TEST(asksAboutNoMoreWorkersThanTheServiceAccepts);
    CPPUNIT_TEST(noticesEndsOfOneWorkerSoonAfterEachOther);
    CPPUNIT_TEST(asksOnlyWhereTicketsCouldBeUsed);
    CPPUNIT_TEST(repeatsAFailedAdviceRequest);
    CPPUNIT_TEST(reservesCapacityForOnePassOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportsAStateNoOlderThanTheRequest()
    {
        DispatchWorld world(3, 1);
        world.run(settleTime);
        const auto reader = makeSlowReader(world);
        world.run(Milliseconds{800});
        const auto handle = world.call(reader, CallVerb::Query, 1);
        world.run(Milliseconds{50});
        CPPUNIT_ASSERT(world.responseTo(handle).has_value());
        CPPUNIT_ASSERT(world.responseTo(handle)->phase == JobPhase::Completed);
        assertNoViolations(world);
    }

    void reportsTheLastKnownStateWhileTheStoreDoesNotRespond()
    {
        DispatchWorld world(3, 1);
        world.run(settleTime);
        const auto reader = makeSlowReader(world);
        world.run(Milliseconds{800});
        world.storeModes[reader] = StoreMode::Silent;
        const auto handle = world.call(reader, CallVerb::Query, 1);
        world.run(Milliseconds{150});
        CPPUNIT_ASSERT(world.responseTo(handle).has_value());
        CPPUNIT_ASSERT(world.responseTo(handle)->result == CallResult::Done);
        assertNoViolations(world);
    }

    void requestsAdviceForTheNextStepBeforeItOpens()
    {
        DispatchWorld world(2, 2);
        requireAdvice(world, 10);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{100}, RunEnd::Done}};
        world.scripts[{1, 0, 0, 1}] = {{Milliseconds{600}, RunEnd::Done}};
        const auto begin = world.now();
        world.submit(0, 1, jobOf({plainStep(2), plainStep(1, {0})}));
        world.run(Milliseconds{1'500});
        const auto requested = world.adviceRequestedAt.find({1, 1});
        CPPUNIT_ASSERT(requested != world.adviceRequestedAt.end());
        CPPUNIT_ASSERT(requested->second - begin < Milliseconds{600});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    /** Long advice requests occupied all remaining relays, so urgent jobs waited until those requests had completed. */
    void reservesARelayForShortRequestsWhenOthersFail()
    {
        DispatchWorld world(4, 2);
        requireAdvice(world, 600);
        world.run(settleTime);
        const auto owner = world.owner().value();
        avoidTwoRelays(world, owner);
        for (JobId job = 1; job <= 4; ++job) {
            world.adviceTimes[job] = Milliseconds{600};
            world.submit(owner, job, jobOf({plainStep(1)}));
        }
        world.run(Milliseconds{200});
        auto spec = jobOf({plainStep(1)});
        const auto handle = world.submitTo("/s/", owner, 9, std::move(spec));
        world.run(Milliseconds{200});
        CPPUNIT_ASSERT(world.responseTo(handle).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({9, 0, 0, 0}));
        assertNoViolations(world);
    }

    /**
     * Groups whose request was open counted against the bound on groups that need one, so that 64 slow requests kept
     * all other groups from being asked about, though relays were free.
     */
    void requestsAdviceWhileManyRequestsAreOpen()
    {
        constexpr JobId slowJobs = 64;
        constexpr std::size_t daemons = 70;
        DispatchWorld world(daemons, 8);
        requireAdvice(world, 20);
        auto configuration = world.configuration;
        configuration.queues[0].policy.targetLatency = longPause; // all are in time, so the earliest go first
        world.publish(configuration);
        world.run(settleTime);
        const auto owner = world.owner().value();
        for (JobId job = 1; job <= slowJobs; ++job) {
            world.adviceTimes[job] = Milliseconds{3'000};
            world.submit(owner, job, jobOf({plainStep(1)}));
        }
        world.run(Milliseconds{200});
        world.submit(owner, slowJobs + 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({slowJobs + 1, 0, 0, 0}));
        assertNoViolations(world);
    }

    /** Each pass evaluated all workers of the pool for each group whose tickets had expired. */
    void evaluatesNoWorkersForGroupsWithoutAValidTicket()
    {
        constexpr JobId jobs = 30;
        DispatchWorld world(2, 2);
        submitForOneWorker(world, jobs);
        world.run(Milliseconds{4'000});
        const auto &counters = world.entry(world.owner().value()).counters;
        const auto before = counters.workersEvaluated;
        world.run(Milliseconds{2'000});
        CPPUNIT_ASSERT_EQUAL(before, counters.workersEvaluated);
        world.run(Milliseconds{40'000});
        std::size_t starts = 0;
        for (JobId job = 1; job <= jobs; ++job) {
            starts += world.startsOf({job, 0, 0, 0});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, starts); // one after the other, 20 s each
        assertNoViolations(world);
    }

    /**
     * A request named as many workers as a step has tasks, however few still waited. Beyond 100 the policy service
     * rejects it, so that the last tasks of a wide step were never placed.
     */
    void asksAboutNoMoreWorkersThanTheServiceAccepts()
    {
        constexpr std::uint32_t tasks = 110;
        DispatchWorld world(4, tasks + 20);
        requireAdvice(world, 20);
        world.run(settleTime);
        auto step = plainStep(tasks);
        step.perTask = world.worker(0).capacity();
        for (std::uint32_t n = 0; n < tasks; ++n) {
            world.scripts[{1, 0, 0, n}] = {{Milliseconds{2'000}, RunEnd::Done}};
        }
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{3'000}, RunEnd::Failed}, {Milliseconds{100}, RunEnd::Done}};
        world.submit(0, 1, jobOf({step}));
        world.run(Milliseconds{12'000});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    /**
     * While the write of an end was put off, its worker was polled every 300 ms only, so that the next end there was
     * noticed as late.
     */
    void noticesEndsOfOneWorkerSoonAfterEachOther()
    {
        DispatchWorld world(3, 1);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{500}, RunEnd::Done}};
        world.scripts[{1, 0, 0, 1}] = {{Milliseconds{560}, RunEnd::Done}};
        world.scripts[{1, 0, 0, 2}] = {{Milliseconds{620}, RunEnd::Done}};
        world.submit(world.owner().value(), 1, jobOf({plainStep(3), plainStep(1, {0})}));
        world.run(Milliseconds{800});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 1, 0}));
        assertNoViolations(world);
    }

    /** Groups without a valid ticket had the service asked about workers that had no capacity for them. */
    void asksOnlyWhereTicketsCouldBeUsed()
    {
        constexpr JobId jobs = 10;
        DispatchWorld world(2, 2);
        submitForOneWorker(world, jobs);
        world.run(Milliseconds{5'000});
        const auto &counters = world.entry(world.owner().value()).counters;
        const auto before = counters.adviceRequests;
        world.run(Milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(before, counters.adviceRequests);
        assertNoViolations(world);
    }

    void repeatsAFailedAdviceRequest()
    {
        DispatchWorld world(3, 2);
        requireAdvice(world, 10);
        world.run(settleTime);
        world.requestsToFail = 1;
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    /** Capacity that stayed reserved for waiting tasks blocked the renewal of the tickets for the same tasks. */
    void reservesCapacityForOnePassOnly()
    {
        DispatchWorld world(1, 2);
        world.run(settleTime);
        auto large = plainStep(1);
        large.perTask = {4'000, 1'024, 0};
        for (JobId job = 1; job <= 6; ++job) {
            world.scripts[{job, 0, 0, 0}] = {{Milliseconds{5'000}, RunEnd::Done}};
            world.submit(0, job, jobOf({large}));
        }
        world.run(Milliseconds{1'500});
        auto &entry = world.entry(0);
        CPPUNIT_ASSERT(!entry.work.waitingGroups.empty());
        CPPUNIT_ASSERT(entry.work.pass.largeReservations > 0);
        entry.workers.table.forEach([&](WorkerRef worker) {
            CPPUNIT_ASSERT(entry.workers.table.get<WorkerLoad>(worker).reservedInPass < entry.work.pass.number);
        });
        assertNoViolations(world);
    }

private:
    /**
     * Submits a job that runs for 500 ms. Once a follower has read the job from the journal, makes that follower pause
     * for 2 s between its regular reads, so that it does not read the end of the job.
     * @return Index of the follower.
     */
    static std::size_t makeSlowReader(DispatchWorld &world)
    {
        const std::size_t reader = world.owner().value() == 0 ? 1 : 0;
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{500}, RunEnd::Done}};
        world.submit(2, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{250});
        CPPUNIT_ASSERT(world.entry(reader).jobs.byId.contains(1));
        world.entry(reader).settings.followerReadPause = Milliseconds{2'000};
        world.run(Milliseconds{250});
        return reader;
    }

    /**
     * Publishes a configuration in which the plain queue and a second queue "/s/" require tickets. The configured time
     * that the policy service takes for a request is 10 ms on the second queue.
     * @param decideMs The same time for the plain queue, in milliseconds.
     */
    static void requireAdvice(DispatchWorld &world, double decideMs)
    {
        auto configuration = plainConfiguration();
        configuration.queues[0].policy.advice = {true, decideMs, 1, Milliseconds{1'500}};
        auto quick = configuration.queues[0];
        quick.name = "s";
        quick.pathPrefix = "/s/";
        quick.policy.advice = {true, 10, 1, Milliseconds{1'500}};
        configuration.queues.push_back(quick);
        world.publish(configuration);
    }

    /**
     * Submits jobs to a cell of two workers of which the policy service allows only the first. Each job takes the whole
     * capacity of a worker for 20 s.
     */
    static void submitForOneWorker(DispatchWorld &world, JobId jobs)
    {
        requireAdvice(world, 20);
        world.refusedWorkers = {"w1"};
        world.run(settleTime);
        auto step = plainStep(1);
        step.perTask = world.worker(0).capacity();
        for (JobId job = 1; job <= jobs; ++job) {
            world.scripts[{job, 0, 0, 0}] = {{Milliseconds{20'000}, RunEnd::Done}};
            world.submit(0, job, jobOf({step}));
        }
    }

    /** Makes the owner send no requests through two of the three other daemons. */
    static void avoidTwoRelays(DispatchWorld &world, std::size_t owner)
    {
        for (std::size_t n = 1; n <= 2; ++n) {
            const auto &name = world.entry((owner + n) % 4).settings.name;
            world.entry(owner).advice.relays[name].avoidUntil = MonotonicTime{world.now() + longPause};
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchLatencyTest);
