/** @file dispatch_stale_owner_test.cpp Tests of owners whose views are old, and of when they release ownership. */
#include "dispatch/entry_func.h"
#include "dispatch_fixture.h"

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

namespace
{

constexpr std::size_t daemonCount = 3;
/** Time within which no run of a job is left after its acknowledged cancellation, on any deployment. */
constexpr Milliseconds cancelLimit{3'400};

/** Time after which no run is started on a worker that has reported that it drains. */
constexpr Milliseconds drainLimit{2'000};

/** Returns a job of one task that runs until it is cancelled. */
JobSpec endlessJob()
{
    auto step = plainStep(1);
    step.endless = true;
    return jobOf({step});
}

/** Sets the fault mode of the store for the calls of all daemons. */
void setStoreMode(DispatchWorld &world, StoreMode mode)
{
    for (std::size_t n = 0; n < daemonCount; ++n) {
        world.storeModes[n] = mode;
    }
}

} // namespace

class DispatchStaleOwnerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchStaleOwnerTest);
    CPPUNIT_TEST(stopsRunsOfACancelledJobWhenTheOwnerCannotReadTheJournal);
    CPPUNIT_TEST(startsNothingInAnEvacuatedDomainWhenTheOwnerCannotReadTheConfiguration);
    CPPUNIT_TEST(startsNothingOnADrainingWorkerWhenTheOwnerCannotReadTheListOfWorkers);
    CPPUNIT_TEST(keepsOwnershipWhenAllDaemonsRegainTheStore);
    CPPUNIT_TEST(startsNothingOnAWorkerThatDrainsForLongerThanItsLimit);
    CPPUNIT_TEST(stopsRunsOfACancelledJobSoonAfterAnOwnerHasShutDown);
    CPPUNIT_TEST(placesWorkWhenOnlyTheLastDaemonReadsTheConfiguration);
    CPPUNIT_TEST(startsNoPlacedRunOnAWorkerThatDrainsSince);
    CPPUNIT_TEST(stopsARunThatBeginsInTheNextLifeOfAWorkerThatAcceptedItsStop);
    CPPUNIT_TEST(startsNoRunThatWaitedForATicketWhileItsWorkerBeganToDrain);
    CPPUNIT_TEST(keepsRunsOfAWorkerThatIsSilentRightAfterItsFirstReport);
    CPPUNIT_TEST(keepsOwnershipAfterOneLostReadOfASlowStore);
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

    /** An owner whose append was stored before its first read succeeded released the cell, as if others read better. */
    void keepsOwnershipWhenAllDaemonsRegainTheStore()
    {
        constexpr Milliseconds firstOutage{4'000};
        constexpr Milliseconds lastOutage{4'120}; // so that reads and appends meet the end of the outage in any order
        constexpr Milliseconds increment{8};
        for (auto outage = firstOutage; outage <= lastOutage; outage += increment) {
            DispatchWorld world(daemonCount, 2);
            world.run(settleTime);
            const auto owner = world.owner().value();
            world.scripts[{1, 0, 0, 0}] = {{Milliseconds{600'000}, RunEnd::Done}};
            world.submit(owner, 1, endlessJob());
            world.run(Milliseconds{2'000});
            setStoreMode(world, StoreMode::Down);
            world.run(outage);
            setStoreMode(world, StoreMode::Up);
            world.run(Milliseconds{1'000});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(outage.count()), owner, world.owner().value_or(daemonCount));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
            assertNoViolations(world);
        }
    }

    /** The limit of the age of the list of workers was longer than the time after which a draining worker gets no runs.
     */
    void startsNothingOnAWorkerThatDrainsForLongerThanItsLimit()
    {
        DispatchWorld world(daemonCount, 2);
        world.run(settleTime);
        const auto owner = world.owner().value();
        world.daemonsWithoutWorkerList.insert(owner);
        world.listWorker(1, true);
        world.run(drainLimit);
        world.submit((owner + 1) % daemonCount, 1, jobOf({plainStep(8)}));
        world.run(Milliseconds{4'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOn(1));
        CPPUNIT_ASSERT(world.phaseAt((owner + 1) % daemonCount, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    /** An owner that had taken over after a release kept the cell for 15 s without reading the journal. */
    void stopsRunsOfACancelledJobSoonAfterAnOwnerHasShutDown()
    {
        DispatchWorld world(daemonCount, 2);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{600'000}, RunEnd::Done}};
        world.submit(world.owner().value(), 1, endlessJob());
        world.run(Milliseconds{500});
        world.entry(world.owner().value()).phase = EntryPhase::Draining;
        world.run(Milliseconds{5'000});
        const auto owner = world.owner().value();
        auto other = (owner + 1) % daemonCount;
        other = world.entry(other).phase == EntryPhase::Draining ? (owner + 2) % daemonCount : other;
        CPPUNIT_ASSERT(world.runningOn({1, 0, 0, 0}).has_value());
        world.storeModes[owner] = StoreMode::AnswersNoReads;
        world.run(Milliseconds{100});
        const auto handle = world.call(other, CallVerb::Cancel, 1);
        world.run(cancelLimit);
        CPPUNIT_ASSERT(world.responseTo(handle)->result == CallResult::Done);
        CPPUNIT_ASSERT(!world.runningOn({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    /** A daemon that did not read the configuration claimed before one that did, and then kept the cell for 15 s. */
    void placesWorkWhenOnlyTheLastDaemonReadsTheConfiguration()
    {
        for (std::size_t good = 0; good < daemonCount; ++good) {
            DispatchWorld world(daemonCount, 2);
            world.run(settleTime);
            if (world.owner() == good) {
                continue;
            }
            for (std::size_t n = 0; n < daemonCount; ++n) {
                if (n != good) {
                    world.daemonsWithoutConfig.insert(n);
                }
            }
            world.run(Milliseconds{5'500});
            world.submit(good, 1, jobOf({plainStep(2)}));
            world.run(Milliseconds{3'000});
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(good), std::size_t{2}, world.startsOn(0) + world.startsOn(1));
            assertNoViolations(world);
        }
    }

    /** An owner whose record is stored so late loses the cell, so the runs that it placed before are not started. */
    void startsNoPlacedRunOnAWorkerThatDrainsSince()
    {
        constexpr Milliseconds storeDelay{2'300};
        DispatchWorld world(daemonCount, 2);
        world.run(settleTime);
        const auto owner = world.owner().value();
        world.submit((owner + 1) % daemonCount, 1, jobOf({plainStep(8)}));
        world.storeDelay = storeDelay;
        while (world.entry(owner).work.runs.size() == 0 && world.now() < Milliseconds{10'000}) {
            world.run(Milliseconds{1});
        }
        CPPUNIT_ASSERT(world.entry(owner).work.runs.size() > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOn(1));
        world.listWorker(1, true);
        world.run(drainLimit);
        const auto startsBefore = world.startsOn(1);
        world.storeDelay = Milliseconds{0};
        world.run(Milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(startsBefore, world.startsOn(1));
        CPPUNIT_ASSERT(world.startsOn(0) >= 4);
        assertNoViolations(world);
    }

    /** A worker restarted after it had accepted a stop, executed the late start, and got no further stop. */
    void stopsARunThatBeginsInTheNextLifeOfAWorkerThatAcceptedItsStop()
    {
        constexpr Milliseconds lateStartTime{3'500}; // until all starts that were sent before the stop are executed
        DispatchWorld world(2, 1);
        world.run(settleTime);
        const auto owner = world.owner().value();
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{600'000}, RunEnd::Done}};
        world.linkModes[0] = LinkMode::DelaysStarts;
        world.submit(owner, 1, endlessJob());
        world.run(Milliseconds{1'000});
        world.call(owner, CallVerb::Cancel, 1);
        auto &runs = world.entry(owner).work.runs;
        const auto hasAcceptedStop = [&] {
            bool isAccepted = false;
            runs.forEach([&](RunRef it) { isAccepted = isAccepted || runs.get<RunState>(it).stopAccepted; });
            return isAccepted;
        };
        for (int n = 0; n < 1'000 && !hasAcceptedStop(); ++n) {
            world.run(Milliseconds{1});
        }
        CPPUNIT_ASSERT(hasAcceptedStop());
        world.worker(0).restart(world.now());
        world.linkModes[0] = LinkMode::Cut;
        world.run(lateStartTime);
        CPPUNIT_ASSERT(world.runningOn({1, 0, 0, 0}).has_value());
        world.linkModes[0] = LinkMode::Up;
        world.run(cancelLimit);
        CPPUNIT_ASSERT(!world.runningOn({1, 0, 0, 0}));
    }

    /** A placed run that waits for the renewal of its ticket is discarded when its worker drains meanwhile. */
    void startsNoRunThatWaitedForATicketWhileItsWorkerBeganToDrain()
    {
        constexpr Milliseconds adviceTime{2'500};
        constexpr Milliseconds storeDelay{700}; // the ticket expires before the placed runs are stored
        DispatchWorld world(daemonCount, 2);
        auto configuration = world.configuration;
        configuration.queues[0].policy.advice = {true, 2'400, 1, Milliseconds{3'000}};
        world.publish(configuration);
        world.adviceTimes[1] = adviceTime;
        world.run(settleTime);
        const auto owner = world.owner().value();
        world.submit((owner + 1) % daemonCount, 1, jobOf({plainStep(8)}));
        const auto limit = world.now() + Milliseconds{4'000};
        while (world.entry(owner).work.runs.size() == 0 && world.now() < limit) {
            world.run(Milliseconds{1});
        }
        CPPUNIT_ASSERT(world.entry(owner).work.runs.size() > 0);
        world.storeDelay = storeDelay;
        world.run(storeDelay);
        world.storeDelay = Milliseconds{0};
        world.listWorker(1, true);
        world.run(drainLimit);
        const auto startsBefore = world.startsOn(1);
        world.run(Milliseconds{4'000});
        CPPUNIT_ASSERT_EQUAL(startsBefore, world.startsOn(1));
        assertNoViolations(world);
    }

    /** A new owner took the lease as expired 0.2 s after a worker's first report, and started its runs elsewhere. */
    void keepsRunsOfAWorkerThatIsSilentRightAfterItsFirstReport()
    {
        DispatchWorld world(daemonCount, 2);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{600'000}, RunEnd::Done}};
        world.submit(0, 1, endlessJob());
        world.run(Milliseconds{1'000});
        const auto worker = world.runningOn({1, 0, 0, 0}).value();
        const auto previousOwner = world.owner().value();
        world.kill(previousOwner);
        const auto hasReported = [&] {
            const auto owner = world.owner();
            bool isKnown = false;
            if (owner && *owner != previousOwner) {
                const auto &workers = world.entry(*owner).workers;
                const auto it = workers.byId.find(world.worker(worker).id());
                isKnown = it != workers.byId.end() && workers.table.get<WorkerLink>(it->second).hasResponded;
            }
            return isKnown;
        };
        for (int n = 0; n < 5'000 && !hasReported(); ++n) {
            world.run(Milliseconds{1});
        }
        CPPUNIT_ASSERT(hasReported());
        world.linkModes[worker] = LinkMode::Cut;
        world.run(Milliseconds{1'500});
        world.linkModes[worker] = LinkMode::Up;
        world.run(Milliseconds{3'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    /** With a store that responds after 240 ms, one lost read makes a view of the journal 2.1 s old. */
    void keepsOwnershipAfterOneLostReadOfASlowStore()
    {
        constexpr Milliseconds age{2'115};
        Entry entry;
        entry.ownership.phase = OwnerPhase::Owner;
        const TickTime time{MonotonicTime{Milliseconds{60'000}}, {}};
        entry.ownership.storedBatchSentAt = time.now;
        entry.workers.asOf = time.now;
        entry.config.asOf = time.now;
        entry.journal.asOf = time.now - age;
        CPPUNIT_ASSERT(!mayStart(entry, time));
        CPPUNIT_ASSERT(hasFreshViews(entry, time));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchStaleOwnerTest);
