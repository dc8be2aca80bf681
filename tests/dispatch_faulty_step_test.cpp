/**
 * @file dispatch_faulty_step_test.cpp Tests that the failing or stalled runs of one job do not take the workers from
 * other jobs, and that workers which are at fault themselves are avoided all the same.
 */
#include "faulty_world.h"

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

class DispatchFaultyStepTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchFaultyStepTest);
    CPPUNIT_TEST(jobThatLastsAndFailsLeavesWorkersToOthers);
    CPPUNIT_TEST(jobThatLastsAndIsDoneAtOnceLeavesWorkersToOthers);
    CPPUNIT_TEST(gangsThatLastAndFailLeaveWorkersToOthers);
    CPPUNIT_TEST(severalFailingJobsLeaveWorkersToOthers);
    CPPUNIT_TEST(failingJobLeavesTheLimitOfItsTeamToOthers);
    CPPUNIT_TEST(failingJobsOfAllTeamsLeaveWorkersToOthers);
    CPPUNIT_TEST(failingJobsOfManyTasksLeaveWorkersToOthers);
    CPPUNIT_TEST(failingJobsOfOneTaskLeaveWorkersToOthers);
    CPPUNIT_TEST(stalledJobLeavesWorkersToOthers);
    CPPUNIT_TEST(failingJobHoldsNoWorkersAfterAChangeOfOwner);
    CPPUNIT_TEST(failingLargeTasksReserveNoWorkersBetweenRuns);
    CPPUNIT_TEST(suspendsNoMoreThanAPartOfThePool);
    CPPUNIT_TEST(avoidsAFailingWorker);
    CPPUNIT_TEST(avoidsAFailingWorkerOfAFullCell);
    CPPUNIT_TEST(avoidsAFailingWorkerBesideAFailingJob);
    CPPUNIT_TEST(avoidsAWorkerOnWhichRunsStall);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Each failed run counted against its worker, so that one job kept all workers out of use for good. */
    void jobThatLastsAndFailsLeavesWorkersToOthers()
    {
        FaultyWorld world;
        world.submitScripted(FaultyWorld::hopeless, endlessStep(FaultyWorld::tasksOfCell), failingRun);
        world.assertSoundJobsComplete();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.countSuspended());
    }

    /** Runs that end done at once were begun again at once, and before all other work, so that these took all room. */
    void jobThatLastsAndIsDoneAtOnceLeavesWorkersToOthers()
    {
        FaultyWorld world;
        world.submitScripted(FaultyWorld::hopeless, endlessStep(FaultyWorld::tasksOfCell), {failsAfter, RunEnd::Done});
        world.assertSoundJobsComplete();
    }

    /** The members of gangs that last fail on all workers. */
    void gangsThatLastAndFailLeaveWorkersToOthers()
    {
        FaultyWorld world;
        auto step = endlessStep(FaultyWorld::workers);
        step.gang = true;
        for (JobId id = FaultyWorld::hopeless; id < FaultyWorld::hopeless + 4; ++id) {
            world.submitScripted(id, step, failingRun);
        }
        world.assertSoundJobsComplete();
        CPPUNIT_ASSERT(world.startsOf({FaultyWorld::hopeless, 0, 0, 0}) > 1);
    }

    /** Many jobs, which together ask for several times the capacity of the cell. */
    void severalFailingJobsLeaveWorkersToOthers()
    {
        FaultyWorld world;
        for (JobId id = FaultyWorld::hopeless; id < FaultyWorld::hopeless + 6; ++id) {
            world.submitScripted(id, endlessStep(FaultyWorld::tasksOfCell), failingRun);
        }
        world.assertSoundJobsComplete();
    }

    /** The failing job takes all that its team may use, until its tasks wait between their runs. */
    void failingJobLeavesTheLimitOfItsTeamToOthers()
    {
        FaultyWorld world;
        auto next = world.configuration;
        for (auto &team : next.teams) {
            team.limit = {8'000, 0, 0};
        }
        world.publish(next);
        world.callerKey = "blue key";
        world.run(settleTime);
        world.submitScripted(FaultyWorld::hopeless, endlessStep(FaultyWorld::tasksOfCell), failingRun);
        world.assertSoundJobsComplete();
    }

    /** Gangs and single tasks that last, and jobs that end, of both teams. */
    void failingJobsOfAllTeamsLeaveWorkersToOthers()
    {
        FaultyWorld world;
        auto gang = endlessStep(FaultyWorld::workers);
        gang.gang = true;
        JobId id = FaultyWorld::hopeless;
        for (const auto *key : {"red key", "blue key"}) {
            world.callerKey = key;
            for (const auto &step :
                 {endlessStep(FaultyWorld::tasksOfCell), gang, plainStep(FaultyWorld::tasksOfCell)}) {
                world.submitScripted(id++, step, failingRun);
                world.submitScripted(id++, step, failingRun);
            }
        }
        world.assertSoundJobsComplete();
    }

    /** Jobs that end, but have many tasks, which fail twice each. */
    void failingJobsOfManyTasksLeaveWorkersToOthers()
    {
        FaultyWorld world;
        for (JobId id = FaultyWorld::hopeless; id < FaultyWorld::hopeless + 40; ++id) {
            world.submitScripted(id, plainStep(FaultyWorld::tasksOfCell), failingRun);
        }
        world.assertSoundJobsComplete();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.countSuspended());
    }

    /** Each of these jobs fails on one worker before it fails on another one, so that each is no evidence of its own.
     */
    void failingJobsOfOneTaskLeaveWorkersToOthers()
    {
        constexpr JobId jobs = 60;
        FaultyWorld world;
        for (JobId id = FaultyWorld::hopeless; id < FaultyWorld::hopeless + jobs; ++id) {
            world.submitScripted(id, plainStep(1), failingRun);
        }
        world.run(Milliseconds{3'000});
        for (JobId id = FaultyWorld::hopeless; id < FaultyWorld::hopeless + jobs; ++id) {
            CPPUNIT_ASSERT(world.phaseAt(0, id) == JobPhase::Failed);
        }
        world.assertSoundJobsComplete();
    }

    /** Each stalled run put its worker out of use, also when the runs of its step stall on every worker. */
    void stalledJobLeavesWorkersToOthers()
    {
        FaultyWorld world;
        world.submitScripted(FaultyWorld::hopeless, plainStep(FaultyWorld::tasksOfCell / 2), stalledRun());
        world.assertSoundJobsComplete();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.countSuspended());
    }

    /** What the owner knew of the faults is lost with it. */
    void failingJobHoldsNoWorkersAfterAChangeOfOwner()
    {
        FaultyWorld world;
        world.submitScripted(FaultyWorld::hopeless, endlessStep(FaultyWorld::tasksOfCell), failingRun);
        world.run(Milliseconds{4'000});
        const auto former = world.owner().value();
        world.kill(former);
        world.run(Milliseconds{3'000});
        world.restart(former);
        world.run(settleTime);
        world.assertSoundJobsComplete();
    }

    /** Tasks that wait until they may be begun again have no worker reserved meanwhile. */
    void failingLargeTasksReserveNoWorkersBetweenRuns()
    {
        FaultyWorld world;
        auto step = endlessStep(1);
        step.perTask.cpuMilli = 3'500;
        for (JobId id = FaultyWorld::hopeless; id < FaultyWorld::hopeless + FaultyWorld::workers; ++id) {
            world.submitScripted(id, step, failingRun);
        }
        world.assertSoundJobsComplete();
    }

    /** Many different jobs fail everywhere at the same moment: most workers stay in use whatever that looks like. */
    void suspendsNoMoreThanAPartOfThePool()
    {
        FaultyWorld world;
        for (JobId id = FaultyWorld::hopeless; id < FaultyWorld::hopeless + 200; ++id) {
            world.submitScripted(id, plainStep(1), failingRun);
        }
        for (int n = 0; n < 300; ++n) {
            world.run(Milliseconds{20});
            CPPUNIT_ASSERT(world.countSuspended() <= FaultyWorld::workers / 4);
        }
        assertNoViolations(world);
    }

    void avoidsAFailingWorker()
    {
        FaultyWorld world;
        world.scriptsByWorker[0] = failingRun;
        world.assertSoundJobsComplete();
        CPPUNIT_ASSERT(world.startsOn(0) <= 5);
    }

    /** In a full cell the failing worker is the one with room, so that only a suspension keeps tasks from it. */
    void avoidsAFailingWorkerOfAFullCell()
    {
        constexpr JobId jobs = 120;
        FaultyWorld world(3);
        world.scriptsByWorker[0] = failingRun;
        for (JobId id = 1; id <= jobs; ++id) {
            world.submitScripted(id, plainStep(1), {Milliseconds{1'000}, RunEnd::Done});
        }
        world.run(Milliseconds{6'000});
        CPPUNIT_ASSERT(world.countEvents(EventKind::WorkerSuspended) > 0);
        CPPUNIT_ASSERT(world.startsOn(0) <= 16);
        assertNoViolations(world);
    }

    /** Failures of a job that fails everywhere hide no worker that fails everything. */
    void avoidsAFailingWorkerBesideAFailingJob()
    {
        FaultyWorld world(3);
        world.scriptsByWorker[0] = failingRun;
        world.submitScripted(FaultyWorld::hopeless, endlessStep(FaultyWorld::tasksOfCell), failingRun);
        world.run(Milliseconds{6'000});
        const auto before = world.startsOn(0);
        world.assertSoundJobsComplete();
        CPPUNIT_ASSERT(world.startsOn(0) - before < 80);
    }

    void avoidsAWorkerOnWhichRunsStall()
    {
        FaultyWorld world;
        world.scriptsByWorker[0] = stalledRun();
        world.assertSoundJobsComplete();
        CPPUNIT_ASSERT(world.startsOn(0) <= 5);
        CPPUNIT_ASSERT(world.countEvents(EventKind::WorkerSuspended) > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchFaultyStepTest);
