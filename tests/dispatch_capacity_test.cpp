/** @file dispatch_capacity_test.cpp Tests of entry daemons with workers whose capacity shrinks and grows. */
#include "dispatch_fixture.h"

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

namespace
{

constexpr Resources fullCapacity{4'000, 16'384, 0}; ///< Room for four tasks of plainStep().

/** Returns a capacity with room for a number of tasks of plainStep(). */
Resources roomFor(std::int64_t tasks)
{
    return {1'000 * tasks, 1'024 * tasks, 0};
}

/** Submits jobs of one task each that take the given time. */
void submitJobs(DispatchWorld &world, JobId first, JobId last, Milliseconds work)
{
    for (JobId id = first; id <= last; ++id) {
        world.scripts[{id, 0, 0, 0}] = {{work, RunEnd::Done}};
        world.submit(0, id, jobOf({plainStep(1)}));
    }
}

/** Returns the number of tasks that run on a worker. */
std::size_t runningOnWorker(DispatchWorld &world, std::size_t worker)
{
    return world.worker(worker).runningCount();
}

} // namespace

class DispatchCapacityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchCapacityTest);
    CPPUNIT_TEST(keepsRunsAndStartsNoneWhileCapacityIsShort);
    CPPUNIT_TEST(usesTheCapacityAgainOnceItHasGrown);
    CPPUNIT_TEST(sendsNoStartThatWasPlacedBeforeTheShrink);
    CPPUNIT_TEST(repeatsNoStartAfterTheShrink);
    CPPUNIT_TEST(countsRunsThatAreBeingStopped);
    CPPUNIT_TEST(countsAdoptedRuns);
    CPPUNIT_TEST(placesBestEffortTasksWithoutProcessorTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void keepsRunsAndStartsNoneWhileCapacityIsShort()
    {
        DispatchWorld world(2, 1);
        world.run(settleTime);
        submitJobs(world, 1, 4, Milliseconds{3'000});
        world.run(Milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, runningOnWorker(world, 0));
        world.setCapacity(0, roomFor(2));
        world.run(Milliseconds{100});
        submitJobs(world, 5, 8, Milliseconds{1'000});
        world.run(Milliseconds{1'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, runningOnWorker(world, 0));
        world.run(Milliseconds{1'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, runningOnWorker(world, 0));
        world.run(Milliseconds{5'000});
        for (JobId id = 1; id <= 8; ++id) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({id, 0, 0, 0}));
        }
        assertNoViolations(world);
    }

    void usesTheCapacityAgainOnceItHasGrown()
    {
        DispatchWorld world(2, 1);
        world.run(settleTime);
        world.setCapacity(0, roomFor(0));
        world.run(Milliseconds{100});
        submitJobs(world, 1, 4, Milliseconds{2'000});
        world.run(Milliseconds{2'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, runningOnWorker(world, 0));
        world.setCapacity(0, fullCapacity);
        world.run(Milliseconds{300});
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, runningOnWorker(world, 0));
        assertNoViolations(world);
    }

    /** The placement is being stored while the worker's capacity shrinks; the tasks go to the other worker. */
    void sendsNoStartThatWasPlacedBeforeTheShrink()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        world.setCapacity(1, roomFor(0));
        world.run(Milliseconds{500});
        world.storeDelay = Milliseconds{300};
        submitJobs(world, 1, 4, Milliseconds{1'000});
        world.run(Milliseconds{200}); // the placement is being stored
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, runningOnWorker(world, 0));
        world.setCapacity(0, roomFor(1));
        world.setCapacity(1, fullCapacity);
        world.run(Milliseconds{6'000});
        for (JobId id = 1; id <= 4; ++id) {
            CPPUNIT_ASSERT(world.phaseAt(0, id) == JobPhase::Completed);
        }
        assertNoViolations(world);
    }

    /** Start orders are lost; when they are repeated and arrive, the worker has no capacity any more. */
    void repeatsNoStartAfterTheShrink()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        world.setCapacity(1, roomFor(0));
        world.run(Milliseconds{100});
        world.linkModes[0] = LinkMode::LosesStarts;
        submitJobs(world, 1, 4, Milliseconds{1'000});
        world.run(Milliseconds{300});
        world.setCapacity(0, roomFor(1));
        world.setCapacity(1, fullCapacity);
        world.run(Milliseconds{100});
        world.linkModes[0] = LinkMode::Up;
        world.run(Milliseconds{6'000});
        for (JobId id = 1; id <= 4; ++id) {
            CPPUNIT_ASSERT(world.phaseAt(0, id) == JobPhase::Completed);
        }
        assertNoViolations(world);
    }

    /** The stop orders do not arrive, so the runs of the cancelled jobs take up capacity until their lease expires. */
    void countsRunsThatAreBeingStopped()
    {
        DispatchWorld world(2, 1);
        world.run(settleTime);
        submitJobs(world, 1, 4, Milliseconds{60'000});
        world.run(Milliseconds{500});
        world.setCapacity(0, roomFor(2));
        world.linkModes[0] = LinkMode::Cut;
        for (JobId id = 1; id <= 3; ++id) {
            world.call(0, CallVerb::Cancel, id);
        }
        submitJobs(world, 5, 8, Milliseconds{1'000});
        world.run(Milliseconds{1'000});
        world.linkModes[0] = LinkMode::Up;
        world.run(Milliseconds{8'000});
        for (JobId id = 5; id <= 8; ++id) {
            CPPUNIT_ASSERT(world.phaseAt(0, id) == JobPhase::Completed);
        }
        assertNoViolations(world);
    }

    void countsAdoptedRuns()
    {
        DispatchWorld world(3, 1);
        world.run(settleTime);
        submitJobs(world, 1, 3, Milliseconds{12'000});
        world.run(Milliseconds{500});
        const auto owner = world.owner().value();
        world.kill(owner);
        world.setCapacity(0, roomFor(3));
        world.run(Milliseconds{100});
        for (JobId id = 5; id <= 8; ++id) {
            world.scripts[{id, 0, 0, 0}] = {{Milliseconds{1'000}, RunEnd::Done}};
            world.submit((owner + 1) % 3, id, jobOf({plainStep(1)}));
        }
        world.run(Milliseconds{8'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, runningOnWorker(world, 0));
        world.run(Milliseconds{10'000});
        for (JobId id = 5; id <= 8; ++id) {
            CPPUNIT_ASSERT(world.phaseAt((owner + 1) % 3, id) == JobPhase::Completed);
        }
        assertNoViolations(world);
    }

    /** All processor time is in use, and memory is free. */
    void placesBestEffortTasksWithoutProcessorTime()
    {
        DispatchWorld world(2, 1);
        world.run(settleTime);
        submitJobs(world, 1, 4, Milliseconds{10'000});
        world.run(Milliseconds{500});
        world.setCapacity(0, {4'000, 5'120, 0});
        world.run(Milliseconds{100});
        auto step = plainStep(1);
        step.bestEffort = true;
        world.scripts[{5, 0, 0, 0}] = {{Milliseconds{5'000}, RunEnd::Done}};
        world.submit(0, 5, jobOf({step}));
        world.submit(0, 6, jobOf({step}));
        world.run(Milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({5, 0, 0, 0}) + world.startsOf({6, 0, 0, 0}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchCapacityTest);
