/** @file dispatch_test.cpp Tests of entry daemons that dispatch through the store, as callers and workers see them. */
#include "dispatch/policy/group_order.h"
#include "dispatch_fixture.h"

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

class DispatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchTest);
    CPPUNIT_TEST(runsStepsInOrder);
    CPPUNIT_TEST(runsOnceWhenSubmittedTwice);
    CPPUNIT_TEST(failsAJobAfterItsLastAttempt);
    CPPUNIT_TEST(stopsACancelledJob);
    CPPUNIT_TEST(restartsEndlessTasks);
    CPPUNIT_TEST(keepsATeamWithinItsLimit);
    CPPUNIT_TEST(startsAllTasksOfAGangOrNone);
    CPPUNIT_TEST(gangsThatFitNowhereKeepNoCapacityFromOthers);
    CPPUNIT_TEST(runsOccurrencesWhenTheyAreDue);
    CPPUNIT_TEST(ignoresBriefJumpsOfTheWallClock);
    CPPUNIT_TEST(delaysAdmissionWhileTheConfigurationIsStale);
    CPPUNIT_TEST(startsNothingOnDrainingWorkersOrInDomainsOutOfService);
    CPPUNIT_TEST(startsOnlyOnWorkersThatThePolicyServiceAllows);
    CPPUNIT_TEST(placesGroupsThatCanMeetTheirObjectiveFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    void runsStepsInOrder()
    {
        DispatchWorld world(3, 2);
        world.run(settleTime);
        const auto handle = world.submit(1, 1, jobOf({plainStep(3), plainStep(2, {0})}));
        world.run(Milliseconds{1'500});
        CPPUNIT_ASSERT(world.responseTo(handle)->result == CallResult::Done);
        for (std::size_t n = 0; n < 3; ++n) {
            CPPUNIT_ASSERT(world.phaseAt(n, 1) == JobPhase::Completed);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 1, 1}));
        assertNoViolations(world);
    }

    void runsOnceWhenSubmittedTwice()
    {
        DispatchWorld world(3, 2);
        world.run(settleTime);
        const auto spec = jobOf({plainStep(1)});
        const auto first = world.submit(0, 1, spec);
        const auto second = world.submit(2, 1, spec);
        world.run(Milliseconds{1'000});
        const auto late = world.submit(1, 1, spec);
        world.run(Milliseconds{1'000});
        for (const auto handle : {first, second, late}) {
            CPPUNIT_ASSERT(world.responseTo(handle)->result == CallResult::Done);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    void failsAJobAfterItsLastAttempt()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 1}] = {{Milliseconds{50}, RunEnd::Failed}};
        world.submit(0, 1, jobOf({plainStep(2), plainStep(1, {0})}));
        world.run(Milliseconds{3'000});
        CPPUNIT_ASSERT(world.phaseAt(1, 1) == JobPhase::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.startsOf({1, 0, 0, 1}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOf({1, 0, 1, 0}));
        assertNoViolations(world);
    }

    void stopsACancelledJob()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{60'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1), plainStep(1, {0})}));
        world.run(Milliseconds{500});
        const auto handle = world.call(1, CallVerb::Cancel, 1);
        world.run(Milliseconds{1'000});
        CPPUNIT_ASSERT(world.responseTo(handle)->result == CallResult::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.worker(0).runningCount() + world.worker(1).runningCount());
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Cancelled);
        assertNoViolations(world);
    }

    void restartsEndlessTasks()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        auto step = plainStep(1);
        step.endless = true;
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{200}, RunEnd::Failed}, {Milliseconds{200}, RunEnd::Done}};
        world.submit(0, 1, jobOf({step}));
        world.run(Milliseconds{3'000});
        CPPUNIT_ASSERT(world.startsOf({1, 0, 0, 0}) > 5);
        CPPUNIT_ASSERT(world.phaseAt(1, 1) == JobPhase::Running);
        assertNoViolations(world);
    }

    void keepsATeamWithinItsLimit()
    {
        DispatchWorld world(2, 4);
        auto configuration = plainConfiguration();
        configuration.teams[0].limit = {2'000, 0, 0};
        world.publish(configuration);
        world.run(settleTime);
        for (std::uint32_t n = 0; n < 6; ++n) {
            world.scripts[{1, 0, 0, n}] = {{Milliseconds{1'000}, RunEnd::Done}};
        }
        world.submit(0, 1, jobOf({plainStep(6)}));
        std::size_t peak = 0;
        for (int n = 0; n < 40; ++n) {
            world.run(Milliseconds{100});
            std::size_t running = 0;
            for (std::size_t w = 0; w < 4; ++w) {
                running += world.worker(w).runningCount();
            }
            peak = std::max(peak, running);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, peak);
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    void startsAllTasksOfAGangOrNone()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{1'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{300});
        auto gang = plainStep(8);
        gang.gang = true;
        for (std::uint32_t n = 0; n < 8; ++n) {
            world.scripts[{2, 0, 0, n}] = {{Milliseconds{300}, RunEnd::Done}};
        }
        world.submit(1, 2, jobOf({gang}));
        world.run(Milliseconds{400});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOf({2, 0, 0, 0}));
        world.run(Milliseconds{3'000});
        CPPUNIT_ASSERT(world.phaseAt(0, 2) == JobPhase::Completed);
        for (std::uint32_t n = 0; n < 8; ++n) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({2, 0, 0, n}));
        }
        assertNoViolations(world);
    }

    /**
     * Gangs that need more workers than there are had capacity reserved in each pass, one worker each, so that less
     * urgent work never found any.
     */
    void gangsThatFitNowhereKeepNoCapacityFromOthers()
    {
        constexpr std::size_t workers = 3;
        DispatchWorld world(1, workers);
        auto configuration = plainConfiguration();
        configuration.queues[0].policy.targetLatency = Milliseconds{600'000};
        auto low = configuration.queues[0];
        low.name = "low";
        low.pathPrefix = "/low/";
        low.policy.priority = 2;
        configuration.queues.push_back(low);
        world.publish(configuration);
        world.run(Milliseconds{2'000});
        auto gang = plainStep(workers + 1);
        gang.gang = true;
        gang.perTask = world.worker(0).capacity();
        for (JobId job = 1; job <= workers; ++job) {
            world.submit(0, job, jobOf({gang}));
        }
        world.run(Milliseconds{1'000});
        world.submitTo("/low/", 0, workers + 1, jobOf({plainStep(2)}));
        world.run(Milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({workers + 1, 0, 0, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({workers + 1, 0, 0, 1}));
        assertNoViolations(world);
    }

    void runsOccurrencesWhenTheyAreDue()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        auto spec = jobOf({plainStep(1)});
        const auto wall = wallTimeOf(world);
        spec.repetition = {3, wall + Milliseconds{1'000}, Milliseconds{2'000}};
        world.submit(0, 1, spec);
        world.run(Milliseconds{900});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOf({1, 0, 0, 0}));
        world.run(Milliseconds{600});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOf({1, 1, 0, 0}));
        world.run(Milliseconds{5'000});
        CPPUNIT_ASSERT(world.phaseAt(1, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 2, 0, 0}));
        assertNoViolations(world);
    }

    void ignoresBriefJumpsOfTheWallClock()
    {
        DispatchWorld world(1, 1);
        world.run(settleTime);
        auto spec = jobOf({plainStep(1)});
        spec.repetition = {1, wallTimeOf(world) + Milliseconds{3'000}, Milliseconds{1'000}};
        world.submit(0, 1, spec);
        world.run(Milliseconds{500});
        world.wallStep = Milliseconds{60'000};
        world.run(Milliseconds{1'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOf({1, 0, 0, 0}));
        world.wallStep = Milliseconds{0};
        world.run(Milliseconds{2'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    void delaysAdmissionWhileTheConfigurationIsStale()
    {
        DispatchWorld world(2, 1);
        world.run(settleTime);
        world.daemonsWithoutConfig.insert(1);
        world.run(Milliseconds{2'000});
        auto configuration = plainConfiguration();
        configuration.queues.clear();
        world.publish(configuration);
        const auto handle = world.submit(1, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{1'000});
        CPPUNIT_ASSERT(!world.responseTo(handle).has_value());
        world.daemonsWithoutConfig.clear();
        world.run(Milliseconds{1'000});
        CPPUNIT_ASSERT(world.responseTo(handle)->result == CallResult::UnknownQueue);
        assertNoViolations(world);
    }

    void startsNothingOnDrainingWorkersOrInDomainsOutOfService()
    {
        DispatchWorld world(2, 3);
        world.run(settleTime);
        world.listWorker(0, true);
        world.domainsOut = {"z1"};
        world.run(Milliseconds{1'000});
        world.submit(0, 1, jobOf({plainStep(6)}));
        world.run(Milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.worker(0).runningCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.worker(1).runningCount());
        world.run(Milliseconds{2'000});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    void startsOnlyOnWorkersThatThePolicyServiceAllows()
    {
        DispatchWorld world(2, 3);
        auto configuration = plainConfiguration();
        configuration.queues[0].policy.advice = {true, 10, 1, Milliseconds{1'000}};
        world.publish(configuration);
        world.refusedWorkers = {"w0", "w2"};
        world.run(settleTime);
        for (std::uint32_t n = 0; n < 6; ++n) {
            world.scripts[{1, 0, 0, n}] = {{Milliseconds{1'500}, RunEnd::Done}};
        }
        world.submit(0, 1, jobOf({plainStep(6)}));
        world.run(Milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, world.worker(1).runningCount());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.worker(0).runningCount() + world.worker(2).runningCount());
        world.run(Milliseconds{4'000});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    void placesGroupsThatCanMeetTheirObjectiveFirst()
    {
        const GroupView tooLate{0, 0, {}, Timeliness::TooLate, false};
        const GroupView late{0, 0, {}, Timeliness::Late, false};
        const GroupView inTime{0, 5, MonotonicTime{Milliseconds{9}}, Timeliness::InTime, false};
        const GroupView lessUrgent{1, 0, {}, Timeliness::InTime, false};
        CPPUNIT_ASSERT(FairOrder::key(inTime) < FairOrder::key(late));
        CPPUNIT_ASSERT(FairOrder::key(late) < FairOrder::key(lessUrgent));
        CPPUNIT_ASSERT(FairOrder::key(lessUrgent) < FairOrder::key(tooLate));
    }

private:
    /** Returns the wall time of the daemons. */
    static Milliseconds wallTimeOf(DispatchWorld &world)
    {
        return wallStart + world.now();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchTest);
