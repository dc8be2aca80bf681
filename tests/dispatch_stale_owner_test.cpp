/** @file dispatch_stale_owner_test.cpp Tests of owners that store records but do not read what others have stored. */
#include "fakes/dispatch_world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

namespace
{

constexpr Milliseconds settleTime{2'000}; ///< Time within which a first owner exists and has polled the workers.
/** Time within which no run of a job is left after its acknowledged cancellation, on any deployment. */
constexpr Milliseconds cancelLimit{3'400};

/** Returns a job of one task that runs until it is cancelled. */
JobSpec endlessJob()
{
    auto step = plainStep(1);
    step.endless = true;
    return jobOf({step});
}

} // namespace

class DispatchStaleOwnerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchStaleOwnerTest);
    CPPUNIT_TEST(stopsRunsOfACancelledJobWhenTheOwnerCannotReadTheJournal);
    CPPUNIT_TEST(startsNothingInAnEvacuatedDomainWhenTheOwnerCannotReadTheConfiguration);
    CPPUNIT_TEST(startsNothingOnADrainingWorkerWhenTheOwnerCannotReadTheListOfWorkers);
    CPPUNIT_TEST_SUITE_END();

public:
    /** An owner whose appends were stored but whose reads failed kept renewing the leases of cancelled jobs' runs. */
    void stopsRunsOfACancelledJobWhenTheOwnerCannotReadTheJournal()
    {
        DispatchWorld world(3, 2);
        world.run(settleTime);
        const auto owner = world.owner().value();
        const auto other = (owner + 1) % 3;
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{600'000}, RunEnd::Done}};
        world.scripts[{2, 0, 0, 0}] = {{Milliseconds{600'000}, RunEnd::Done}};
        world.submit(other, 1, endlessJob());
        world.submit(other, 2, endlessJob());
        world.run(Milliseconds{500});
        world.storeModes[owner] = StoreMode::AnswersNoReads;
        world.run(Milliseconds{100});
        const auto handle = world.call(other, CallVerb::Cancel, 1);
        world.run(cancelLimit);
        CPPUNIT_ASSERT(world.responseTo(handle)->result == CallResult::Done);
        CPPUNIT_ASSERT(!world.runningOn({1, 0, 0, 0}));
        world.run(Milliseconds{10'000});
        CPPUNIT_ASSERT(world.runningOn({2, 0, 0, 0}).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({2, 0, 0, 0}));
        assertNoViolations(world);
    }

    /** An owner whose reads of the configuration failed, while those of the journal did not, went on placing tasks. */
    void startsNothingInAnEvacuatedDomainWhenTheOwnerCannotReadTheConfiguration()
    {
        constexpr Milliseconds evacuationLimit{5'000}; // stated target from the evacuation to the last start there
        DispatchWorld world(3, 2);
        world.run(settleTime);
        const auto owner = world.owner().value();
        world.daemonsWithoutConfig.insert(owner);
        world.domainsOut = {"z1"};
        world.run(evacuationLimit);
        world.submit((owner + 1) % 3, 1, jobOf({plainStep(8)}));
        world.run(Milliseconds{3'000});
        CPPUNIT_ASSERT(world.phaseAt((owner + 1) % 3, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, world.startsOn(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOn(1));
        assertNoViolations(world);
    }

    /** An owner whose reads of the list of workers failed, while those of the journal did not, went on placing tasks.
     */
    void startsNothingOnADrainingWorkerWhenTheOwnerCannotReadTheListOfWorkers()
    {
        DispatchWorld world(3, 2);
        world.run(settleTime);
        const auto owner = world.owner().value();
        world.daemonsWithoutWorkerList.insert(owner);
        world.listWorker(1, true);
        world.run(Milliseconds{4'000});
        world.submit((owner + 1) % 3, 1, jobOf({plainStep(8)}));
        world.run(Milliseconds{3'000});
        CPPUNIT_ASSERT(world.phaseAt((owner + 1) % 3, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, world.startsOn(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOn(1));
        assertNoViolations(world);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchStaleOwnerTest);
