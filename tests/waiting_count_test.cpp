/** @file waiting_count_test.cpp Tests of the number of waiting jobs that daemons give to callers. */
#include "dispatch_fixture.h"

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

namespace
{

constexpr std::size_t daemons = 2;
constexpr JobId jobs = 4;

/** Returns the number of waiting jobs that a daemon gives. */
std::uint64_t waitingAt(DispatchWorld &world, std::size_t daemon)
{
    const auto handle = world.call(daemon, CallVerb::Count, 0);
    world.run(Milliseconds{100});
    CPPUNIT_ASSERT(world.responseTo(handle).has_value());
    return world.responseTo(handle)->jobsWaiting;
}

} // namespace

class WaitingCountTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WaitingCountTest);
    CPPUNIT_TEST(countsJobsWhoseStartsAreRefused);
    CPPUNIT_TEST(countsNoJobThatRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    /** A job that had been placed once no longer counted as waiting, though its worker refused every start. */
    void countsJobsWhoseStartsAreRefused()
    {
        DispatchWorld world(daemons, 1);
        world.unhealthyWorkers = {0};
        world.run(settleTime);
        for (JobId job = 1; job <= jobs; ++job) {
            world.submit(job % daemons, job, jobOf({plainStep(1)}));
        }
        world.run(Milliseconds{3'000});
        for (std::size_t n = 0; n < 40; ++n) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{jobs}, waitingAt(world, n % daemons));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOn(0));
        world.unhealthyWorkers.clear();
        world.run(Milliseconds{4'000});
        for (std::size_t n = 0; n < daemons; ++n) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, waitingAt(world, n));
            CPPUNIT_ASSERT(world.phaseAt(n, jobs) == JobPhase::Completed);
        }
        assertNoViolations(world);
    }

    void countsNoJobThatRuns()
    {
        DispatchWorld world(daemons, 1);
        world.defaultScript.work = Milliseconds{10'000};
        world.run(settleTime);
        world.unhealthyWorkers = {0};
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{1'000});
        world.unhealthyWorkers.clear();
        world.submit(0, 2, jobOf({plainStep(1)}));
        world.run(Milliseconds{3'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.startsOn(0));
        for (std::size_t n = 0; n < daemons; ++n) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, waitingAt(world, n));
            CPPUNIT_ASSERT(world.phaseAt(n, 1) == JobPhase::Running);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitingCountTest);
