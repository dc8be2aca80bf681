/** @file dispatch_known_red_test.cpp Tests of entry daemons that fail because of known faults. */
#include "faulty_world.h"
#include "known_red.h"

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

class DispatchKnownRedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchKnownRedTest);
    CPPUNIT_TEST(firstFailedRequestsOfManyJobsLeaveRelaysToOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    /** The first failed request of each step pauses its relay, so that many such jobs in a row pause all relays. */
    void firstFailedRequestsOfManyJobsLeaveRelaysToOthers()
    {
        constexpr JobId jobs = 90;
        FaultyWorld world;
        auto next = world.configuration;
        next.queues[0].policy.advice = {true, 10, 1, Milliseconds{1'500}};
        world.publish(next);
        world.run(settleTime);
        for (JobId id = 1; id <= jobs; ++id) {
            world.jobsWithoutAdvice.insert(id);
            world.submit(0, id, jobOf({endlessStep(1)}));
            world.run(Milliseconds{50});
        }
        world.assertSoundJobsComplete();
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(DispatchKnownRedTest, knownRedRegistry);
