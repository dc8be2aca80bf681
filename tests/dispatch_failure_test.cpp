/** @file dispatch_failure_test.cpp Tests of entry daemons while daemons, the store and workers fail. */
#include "dispatch/work_func.h"
#include "dispatch_fixture.h"

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

class DispatchFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchFailureTest);
    CPPUNIT_TEST(adoptsRunsOfAKilledOwner);
    CPPUNIT_TEST(keepsTheOutcomeOfAFailedJobWhoseRunsAreAdopted);
    CPPUNIT_TEST(resendsAppendsThatGotNoResponse);
    CPPUNIT_TEST(reportsNotRunOrUndecidedWhenTheStoreIsDown);
    CPPUNIT_TEST(movesOwnershipAwayFromADaemonThatTheStoreRefuses);
    CPPUNIT_TEST(waitsForLeaseExpiryOfAnUnreachableWorker);
    CPPUNIT_TEST(completesJobsWhenWorkersStartRunsLate);
    CPPUNIT_TEST(knowsAllAfterEverythingWasRestartedAndTheHistoryIsGone);
    CPPUNIT_TEST(requeuesRunsOfARestartedWorker);
    CPPUNIT_TEST(frozenOwnerLosesOwnershipAndJobsComplete);
    CPPUNIT_TEST(movesAStalledTask);
    CPPUNIT_TEST(renewsTicketsThatExpireBeforeTheirPlacementIsStored);
    CPPUNIT_TEST(waitsAtMostOneLeaseAfterThePreviousOwnerResigned);
    CPPUNIT_TEST(reportsNoJobAsUnknownBeforeTheJournalIsRead);
    CPPUNIT_TEST(storesTheNumberOfThePlacedRun);
    CPPUNIT_TEST(acceptsTheEndOfADiscardedRun);
    CPPUNIT_TEST(startsNothingOnAStaleView);
    CPPUNIT_TEST(smallHostCedesOwnershipToALargerOne);
    CPPUNIT_TEST(ownershipIsStableAmongSmallHostsWhenLargerOnesAreGone);
    CPPUNIT_TEST_SUITE_END();

public:
    void adoptsRunsOfAKilledOwner()
    {
        DispatchWorld world(3, 2);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{4'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1), plainStep(1, {0})}));
        world.run(Milliseconds{500});
        const auto previousOwner = world.owner().value();
        world.kill(previousOwner);
        world.run(Milliseconds{6'000});
        CPPUNIT_ASSERT(world.owner().has_value());
        CPPUNIT_ASSERT(world.phaseAt((previousOwner + 1) % 3, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    /**
     * A new owner adopted runs of a failed job that were still being stopped, and overwrote the job's stored outcome
     * with "not ended".
     */
    void keepsTheOutcomeOfAFailedJobWhoseRunsAreAdopted()
    {
        DispatchWorld world(2, 3);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{50}, RunEnd::Failed}, {Milliseconds{1'500}, RunEnd::Failed}};
        world.scripts[{1, 0, 1, 0}] = {{Milliseconds{60'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1), plainStep(1)}));
        world.run(Milliseconds{500});
        world.linkModes[world.runningOn({1, 0, 1, 0}).value()] = LinkMode::Cut;
        world.run(Milliseconds{2'500});
        const auto previousOwner = world.owner().value();
        world.kill(previousOwner);
        world.run(Milliseconds{3'000});
        world.kill(1 - previousOwner);
        world.restart(previousOwner);
        world.run(Milliseconds{3'000});
        CPPUNIT_ASSERT(world.phaseAt(previousOwner, 1) == JobPhase::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    void resendsAppendsThatGotNoResponse()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        for (std::size_t n = 0; n < 2; ++n) {
            world.storeModes[n] = StoreMode::LosesResponses;
        }
        const auto handle = world.submit(0, 1, jobOf({plainStep(2)}));
        world.run(Milliseconds{300});
        for (std::size_t n = 0; n < 2; ++n) {
            world.storeModes[n] = StoreMode::Up;
        }
        world.run(Milliseconds{3'000});
        CPPUNIT_ASSERT(world.responseTo(handle)->result == CallResult::Done);
        CPPUNIT_ASSERT(world.phaseAt(1, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    void reportsNotRunOrUndecidedWhenTheStoreIsDown()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        for (std::size_t n = 0; n < 2; ++n) {
            world.storeModes[n] = StoreMode::Down;
        }
        const auto refused = world.submit(0, 1, jobOf({plainStep(1)}));
        world.storeModes[1] = StoreMode::Silent;
        const auto undecided = world.submit(1, 2, jobOf({plainStep(1)}));
        world.run(Milliseconds{4'000});
        CPPUNIT_ASSERT(world.responseTo(refused)->result == CallResult::NotRun);
        CPPUNIT_ASSERT(world.responseTo(refused)->retryAfter > Milliseconds{0});
        CPPUNIT_ASSERT(world.responseTo(undecided)->result == CallResult::Undecided);
        for (std::size_t n = 0; n < 2; ++n) {
            world.storeModes[n] = StoreMode::Up;
        }
        world.run(Milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    void movesOwnershipAwayFromADaemonThatTheStoreRefuses()
    {
        DispatchWorld world(3, 2);
        world.run(settleTime);
        const auto previousOwner = world.owner().value();
        world.storeModes[previousOwner] = StoreMode::Down;
        world.run(Milliseconds{3'500});
        const auto handle = world.submit((previousOwner + 1) % 3, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{1'500});
        CPPUNIT_ASSERT(world.responseTo(handle)->result == CallResult::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        CPPUNIT_ASSERT(!world.entry(previousOwner).isOwner());
        assertNoViolations(world);
    }

    void waitsForLeaseExpiryOfAnUnreachableWorker()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{60'000}, RunEnd::Done}, {Milliseconds{100}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{500});
        const std::size_t worker = world.worker(0).runningCount() > 0 ? 0 : 1;
        world.linkModes[worker] = LinkMode::Cut;
        world.run(Milliseconds{4'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        world.run(Milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.startsOf({1, 0, 0, 0}));
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    void completesJobsWhenWorkersStartRunsLate()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        world.linkModes[0] = LinkMode::DelaysStarts;
        world.linkModes[1] = LinkMode::DelaysStarts;
        world.submit(0, 1, jobOf({plainStep(4)}));
        world.run(Milliseconds{1'500});
        world.linkModes[0] = LinkMode::Up;
        world.linkModes[1] = LinkMode::Up;
        world.run(Milliseconds{8'000});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    void knowsAllAfterEverythingWasRestartedAndTheHistoryIsGone()
    {
        DispatchWorld world(3, 2);
        world.run(settleTime);
        world.scripts[{2, 0, 0, 0}] = {{Milliseconds{3'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.submit(1, 2, jobOf({plainStep(1)}));
        world.run(Milliseconds{800});
        for (std::size_t n = 0; n < 3; ++n) {
            world.kill(n);
        }
        world.topic.compact();
        world.run(Milliseconds{1'000});
        for (std::size_t n = 0; n < 3; ++n) {
            world.restart(n);
        }
        world.run(Milliseconds{4'000});
        CPPUNIT_ASSERT(world.phaseAt(1, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT(world.phaseAt(2, 2) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({2, 0, 0, 0}));
        assertNoViolations(world);
    }

    void requeuesRunsOfARestartedWorker()
    {
        DispatchWorld world(2, 1);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{60'000}, RunEnd::Done}, {Milliseconds{100}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{500});
        world.worker(0).restart(world.now());
        world.run(Milliseconds{2'500});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    void frozenOwnerLosesOwnershipAndJobsComplete()
    {
        DispatchWorld world(3, 2);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{1'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1), plainStep(4, {0})}));
        world.run(Milliseconds{300});
        const auto previousOwner = world.owner().value();
        world.freeze(previousOwner, Milliseconds{4'000});
        world.run(Milliseconds{8'000});
        CPPUNIT_ASSERT(!world.entry(previousOwner).isOwner());
        CPPUNIT_ASSERT(world.phaseAt(previousOwner, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    void movesAStalledTask()
    {
        DispatchWorld world(2, 3);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{100}, RunEnd::Done, true}, {Milliseconds{100}, RunEnd::Done}};
        world.scripts[{2, 0, 0, 0}] = {{Milliseconds{6'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.submit(0, 2, jobOf({plainStep(1)}));
        world.run(Milliseconds{7'000});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.startsOf({1, 0, 0, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({2, 0, 0, 0}));
        assertNoViolations(world);
    }

    /** With a slow store, tickets expired before the placements of their runs were stored, and each was placed again.
     */
    void renewsTicketsThatExpireBeforeTheirPlacementIsStored()
    {
        DispatchWorld world(1, 2);
        auto configuration = plainConfiguration();
        configuration.queues[0].policy.advice = {true, 10, 1, Milliseconds{300}};
        world.publish(configuration);
        world.run(settleTime);
        world.submit(0, 1, jobOf({plainStep(4)}));
        world.run(Milliseconds{20});
        world.storeDelay = Milliseconds{400};
        world.run(Milliseconds{3'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 3}));
        assertNoViolations(world);
    }

    /** After a change of owner, an endless task whose worker was unreachable was placed again only after 14 s. */
    void waitsAtMostOneLeaseAfterThePreviousOwnerResigned()
    {
        DispatchWorld world(3, 3);
        world.run(settleTime + Milliseconds{4'000});
        auto step = plainStep(1);
        step.endless = true;
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{90'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({step}));
        world.run(Milliseconds{500});
        world.linkModes[world.runningOn({1, 0, 0, 0}).value()] = LinkMode::Cut;
        const auto previousOwner = world.owner().value();
        world.storeModes[previousOwner] = StoreMode::Silent;
        world.run(Milliseconds{3'000});
        world.storeModes[previousOwner] = StoreMode::Up;
        world.run(Milliseconds{6'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    /** A daemon took a partial read of the journal for a complete one, and reported stored jobs as unknown. */
    void reportsNoJobAsUnknownBeforeTheJournalIsRead()
    {
        constexpr JobId jobs = 60;
        DispatchWorld world(3, 2);
        world.run(settleTime);
        const std::size_t reader = world.owner().value() == 0 ? 1 : 0;
        world.storeModes[reader] = StoreMode::Silent;
        for (JobId job = 1; job <= jobs; ++job) {
            world.submit(2, job, jobOf({plainStep(1)}));
            world.run(Milliseconds{30});
        }
        world.recordsPerRead = 1;
        world.storeModes[reader] = StoreMode::Up;
        world.run(Milliseconds{800});
        const auto handle = world.call(reader, CallVerb::Query, jobs);
        world.run(Milliseconds{3'000});
        CPPUNIT_ASSERT(!world.responseTo(handle) || world.responseTo(handle)->result != CallResult::UnknownJob);
        assertNoViolations(world);
    }

    /**
     * After a worker rejected a repeated start order, the journal contained a higher run number than that of the actual
     * run. The next owner did not find that number on the worker, ignored the end of the run, and started the task
     * again.
     */
    void storesTheNumberOfThePlacedRun()
    {
        DispatchWorld world(1, 1);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{5'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{500});
        auto &entry = world.entry(0);
        const auto run = entry.work.runByTask.at({1, 0, 0, 0});
        const auto task = entry.work.runs.get<RunIdentity>(run).task;
        entry.work.tasks.get<TaskState>(task).lastRun += 16;
        const auto group = entry.work.tasks.get<TaskIdentity>(task).group;
        const auto record = progressOf(entry, entry.work.groups.get<GroupIdentity>(group).occurrence);
        CPPUNIT_ASSERT_EQUAL(entry.work.runs.get<RunIdentity>(run).number, record.tasks[0].run);
    }

    void acceptsTheEndOfADiscardedRun()
    {
        DispatchWorld world(1, 1);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{400}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{200});
        world.linkModes[0] = LinkMode::Cut;
        world.run(Milliseconds{100});
        auto &entry = world.entry(0);
        const auto run = entry.work.runByTask.at({1, 0, 0, 0});
        const auto task = entry.work.runs.get<RunIdentity>(run).task;
        const TickTime time{MonotonicTime{world.now()}, {}};
        discardRun(entry, run, time);
        entry.work.tasks.get<TaskState>(task).readyAt = MonotonicTime{world.now() + Milliseconds{5'000}};
        world.run(Milliseconds{1'000});
        world.linkModes[0] = LinkMode::Up;
        world.run(Milliseconds{8'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    /** An owner whose reads lagged behind the journal started a task whose job had been cancelled seconds before. */
    void startsNothingOnAStaleView()
    {
        DispatchWorld world(3, 1);
        world.run(settleTime);
        const auto owner = world.owner().value();
        const auto other = (owner + 1) % 3;
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{4'000}, RunEnd::Done}};
        world.submit(other, 1, jobOf({plainStep(1), plainStep(1, {0})}));
        world.run(Milliseconds{500});
        world.recordsPerRead = 0;
        world.run(Milliseconds{100});
        const auto handle = world.call(other, CallVerb::Cancel, 1);
        world.run(Milliseconds{6'000});
        CPPUNIT_ASSERT(world.responseTo(handle)->result == CallResult::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOf({1, 0, 1, 0}));
        assertNoViolations(world);
    }

    /** A daemon on a host with an eighth of a core took over ownership and remained the owner for the rest of the day.
     */
    void smallHostCedesOwnershipToALargerOne()
    {
        DispatchWorld world(3, 2);
        world.entry(0).settings.processorShare = "0.12";
        world.entry(1).settings.processorShare = "0.12";
        world.entry(2).settings.processorShare = "0.5";
        world.run(Milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.owner().value());
        world.freeze(2, Milliseconds{3'000});
        world.run(Milliseconds{2'500});
        CPPUNIT_ASSERT(world.entry(0).isOwner() || world.entry(1).isOwner());
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{6'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.owner().value());
        world.run(Milliseconds{5'000});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    void ownershipIsStableAmongSmallHostsWhenLargerOnesAreGone()
    {
        DispatchWorld world(4, 1);
        for (std::size_t n = 0; n < 3; ++n) {
            world.entry(n).settings.processorShare = "0.12";
        }
        world.entry(3).settings.processorShare = "0.5";
        world.run(Milliseconds{5'000});
        world.kill(3);
        world.run(Milliseconds{8'000});
        const auto owner = world.owner();
        CPPUNIT_ASSERT(owner.has_value());
        const auto token = world.entry(owner.value()).ownership.token;
        world.run(Milliseconds{6'000});
        CPPUNIT_ASSERT(world.owner() == owner);
        CPPUNIT_ASSERT_EQUAL(token, world.entry(owner.value()).ownership.token);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchFailureTest);
