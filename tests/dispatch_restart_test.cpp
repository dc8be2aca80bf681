/** @file dispatch_restart_test.cpp Tests of when tasks that last are begun again after their runs have ended. */
#include "faulty_world.h"

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

namespace
{

/** A task that lasts is begun again within this time of the end of its last run. */
constexpr Milliseconds restartBound{5'000};
/** Longer than a run of a task that lasts must take for the next one to begin at once. */
constexpr Milliseconds longRun{8'000};
constexpr JobId job = FaultyWorld::hopeless;
constexpr TaskName firstTask{.job = job};

} // namespace

class DispatchRestartTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchRestartTest);
    CPPUNIT_TEST(restartsFailingTasksWithinTheBound);
    CPPUNIT_TEST(restartsATaskAtOnceAfterALongRun);
    CPPUNIT_TEST(remembersShortRunsWhenTheOwnerChanges);
    CPPUNIT_TEST(jobThatTurnsSoundRunsInFull);
    CPPUNIT_TEST(restartsAGangThatLastsAfterItIsDone);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Callers are owed each task that lasts: it may wait for its next run, but not for long, nor without end. */
    void restartsFailingTasksWithinTheBound()
    {
        constexpr std::uint32_t tasks = 4;
        constexpr Milliseconds watched{60'000};
        FaultyWorld world;
        world.submitScripted(job, endlessStep(tasks), failingRun);
        std::size_t starts = 0;
        auto last = world.now();
        const auto end = world.now() + watched;
        while (world.now() < end) {
            world.run(Milliseconds{50});
            if (const auto n = world.startsOf(firstTask); n > starts) {
                starts = n;
                last = world.now();
            }
            CPPUNIT_ASSERT(world.now() - last < failsAfter + restartBound);
        }
        CPPUNIT_ASSERT(starts < 25);
        CPPUNIT_ASSERT(world.countEvents(EventKind::RestartDelayed) > 0);
        assertNoViolations(world);
    }

    void restartsATaskAtOnceAfterALongRun()
    {
        FaultyWorld world;
        const standin::RunScript failsLate{longRun, RunEnd::Failed};
        world.scripts[firstTask] = {failingRun, failingRun, failingRun, failingRun, failingRun, failsLate, failsLate};
        world.submit(0, job, jobOf({endlessStep(1)}));
        for (int n = 0; world.startsOf(firstTask) < 6; ++n) {
            CPPUNIT_ASSERT(n < 2'000);
            world.run(Milliseconds{10});
        }
        world.run(longRun + Milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{7}, world.startsOf(firstTask));
        assertNoViolations(world);
    }

    /** Otherwise each change of owner lets a failing job run as often as at its beginning. */
    void remembersShortRunsWhenTheOwnerChanges()
    {
        FaultyWorld world;
        world.submitScripted(job, endlessStep(1), failingRun);
        world.run(Milliseconds{15'000});
        world.kill(world.owner().value());
        world.run(Milliseconds{2'500});
        CPPUNIT_ASSERT(world.owner().has_value());
        const auto starts = world.startsOf(firstTask);
        world.run(Milliseconds{12'000});
        const auto more = world.startsOf(firstTask) - starts;
        CPPUNIT_ASSERT(more >= 2);
        CPPUNIT_ASSERT(more <= 4);
        assertNoViolations(world);
    }

    void jobThatTurnsSoundRunsInFull()
    {
        constexpr std::uint32_t tasks = FaultyWorld::tasksOfCell / 2;
        FaultyWorld world;
        world.submitScripted(job, endlessStep(tasks), failingRun);
        world.run(Milliseconds{10'000});
        world.scriptAllTasks(job, tasks, {Milliseconds{600'000}, RunEnd::Failed});
        world.run(restartBound);
        for (std::uint32_t n = 0; n < tasks; ++n) {
            CPPUNIT_ASSERT(world.runningOn({job, 0, 0, n}).has_value());
        }
        assertNoViolations(world);
    }

    /** A gang whose members had ended done was never begun again, though its step lasts until it is cancelled. */
    void restartsAGangThatLastsAfterItIsDone()
    {
        FaultyWorld world;
        auto step = endlessStep(2);
        step.gang = true;
        world.submitScripted(job, step, {Milliseconds{1'000}, RunEnd::Done});
        world.run(Milliseconds{6'000});
        CPPUNIT_ASSERT(world.startsOf(firstTask) >= 3);
        CPPUNIT_ASSERT(world.phaseAt(0, job) == JobPhase::Running);
        assertNoViolations(world);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchRestartTest);
