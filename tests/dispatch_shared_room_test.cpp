/**
 * @file dispatch_shared_room_test.cpp Tests that what one job cannot use, or what is refused to it, is not kept from
 * all other jobs: reserved workers, workers and relays that have refused it something.
 */
#include "faulty_world.h"

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

class DispatchSharedRoomTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchSharedRoomTest);
    CPPUNIT_TEST(reservesNoWorkerThatIsHeldByTasksThatLast);
    CPPUNIT_TEST(reservesAWorkerWhoseRunsWillEnd);
    CPPUNIT_TEST(refusedStartsOfOneJobLeaveWorkersToOthers);
    CPPUNIT_TEST(failingTasksSuspectedOfCrashesLeaveWorkersToOthers);
    CPPUNIT_TEST(failingRequestsOfSomeJobsLeaveRelaysToOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Large tasks had all workers reserved beside which tasks that last leave them no room for good. */
    void reservesNoWorkerThatIsHeldByTasksThatLast()
    {
        FaultyWorld world;
        constexpr JobId firstLarge = 100;
        submitLasting(world, 1, FaultyWorld::workers, 1'500);
        world.run(Milliseconds{1'000});
        submitLasting(world, firstLarge, FaultyWorld::workers, 3'000);
        world.run(Milliseconds{1'000});
        CPPUNIT_ASSERT(!world.runningOn({firstLarge, 0, 0, 0}).has_value());
        world.assertSoundJobsComplete();
    }

    /** Small tasks that come all the time must not keep a large one from ever having room. */
    void reservesAWorkerWhoseRunsWillEnd()
    {
        FaultyWorld world;
        world.defaultScript.work = Milliseconds{600};
        for (JobId id = FaultyWorld::firstSound; id < FaultyWorld::firstSound + 200; ++id) {
            world.submit(0, id, jobOf({plainStep(2)}));
            if (id == FaultyWorld::firstSound + 50) {
                submitLasting(world, 1, 1, 4'000);
            }
            world.run(Milliseconds{40});
        }
        CPPUNIT_ASSERT(world.runningOn({1, 0, 0, 0}).has_value());
        assertNoViolations(world);
    }

    /** A start that a worker refuses for lack of capacity keeps all tasks from that worker for a while. */
    void refusedStartsOfOneJobLeaveWorkersToOthers()
    {
        FaultyWorld world;
        world.jobsWithoutRoom = {1, 2, 3};
        for (const auto id : world.jobsWithoutRoom) {
            world.submit(0, id, jobOf({endlessStep(FaultyWorld::tasksOfCell)}));
        }
        world.run(Milliseconds{1'000});
        std::size_t blocked = 0;
        for (int n = 0; n < 100; ++n) {
            world.run(Milliseconds{20});
            const auto avoided = world.countWorkers(
                [&](const WorkerHealth &it) { return it.avoidUntil.time_since_epoch() > world.now(); });
            blocked += avoided > FaultyWorld::workers / 4 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, blocked);
        world.assertSoundJobsComplete();
    }

    /** Each start of a task that is suspected of a crash keeps other tasks from its worker for a while. */
    void failingTasksSuspectedOfCrashesLeaveWorkersToOthers()
    {
        constexpr std::uint32_t tasks = 4 * FaultyWorld::tasksOfCell;
        FaultyWorld world;
        world.submitScripted(FaultyWorld::hopeless, endlessStep(tasks), failingRun);
        world.run(Milliseconds{500});
        auto &states = world.entry(world.owner().value()).work.tasks;
        states.forEach([&](TaskRef it) { states.get<TaskState>(it).crashWeight = 1; });
        world.run(Milliseconds{8'000});
        std::size_t blocked = 0;
        for (int n = 0; n < 100; ++n) {
            world.run(Milliseconds{50});
            const auto exclusive = world.countWorkers(
                [&](const WorkerHealth &it) { return it.exclusiveUntil.time_since_epoch() > world.now(); });
            blocked += exclusive > FaultyWorld::workers / 2 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, blocked);
        world.assertSoundJobsComplete();
    }

    /** A request that fails kept the requests of all jobs from its relay, also if those of its own job always fail. */
    void failingRequestsOfSomeJobsLeaveRelaysToOthers()
    {
        FaultyWorld world;
        auto next = world.configuration;
        next.queues[0].policy.advice = {true, 10, 1, Milliseconds{1'500}};
        world.publish(next);
        world.run(settleTime);
        for (JobId id = 1; id <= 8; ++id) {
            world.jobsWithoutAdvice.insert(id);
            world.submit(0, id, jobOf({endlessStep(1)}));
        }
        world.run(Milliseconds{5'000});
        world.assertSoundJobsComplete();
    }

private:
    /** Submits jobs of one task that lasts. @param cpuMilli Processor time that a task needs. */
    static void submitLasting(FaultyWorld &world, JobId first, JobId count, std::int64_t cpuMilli)
    {
        auto step = endlessStep(1);
        step.perTask.cpuMilli = cpuMilli;
        for (JobId id = first; id < first + count; ++id) {
            world.submitScripted(id, step, {Milliseconds{600'000}, RunEnd::Done});
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchSharedRoomTest);
