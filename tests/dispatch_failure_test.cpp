/** @file dispatch_failure_test.cpp Entry daemons that dispatch through the store while daemons, store and workers fail.
 */
#include "dispatch/work_func.h"
#include "fakes/dispatch_world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

namespace
{

constexpr Milliseconds settling{2'000}; ///< For the first owner and the first looks at workers.

} // namespace

class DispatchFailureTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchFailureTest);
    CPPUNIT_TEST(adoptsWhatAKilledOwnerPlaced);
    CPPUNIT_TEST(keepsTheEndOfAJobWhoseRunsAreAdopted);
    CPPUNIT_TEST(resendsWhatWasNotAnswered);
    CPPUNIT_TEST(tellsTheTruthWhenTheStoreIsDown);
    CPPUNIT_TEST(movesOwnershipAwayFromADaemonThatTheStoreRefuses);
    CPPUNIT_TEST(waitsForTheLeaseOfASilentWorker);
    CPPUNIT_TEST(survivesStartsThatAreCarriedOutLate);
    CPPUNIT_TEST(knowsAllAfterEverythingWasRestartedAndTheHistoryIsGone);
    CPPUNIT_TEST(endsRunsOfAWorkerThatWasBornAgain);
    CPPUNIT_TEST(aFrozenOwnerDoesNoHarm);
    CPPUNIT_TEST(movesATaskThatStandsStill);
    CPPUNIT_TEST(renewsTicketsThatExpireBeforeTheirPlacementIsStored);
    CPPUNIT_TEST(waitsNoLongerThanALeaseOnceTheFormerOwnerHasResigned);
    CPPUNIT_TEST(deniesNoJobBeforeItHasReadAll);
    CPPUNIT_TEST(writesTheNumberOfTheRunThatIsPlaced);
    CPPUNIT_TEST(takesTheEndOfARunThatWasGivenUp);
    CPPUNIT_TEST(startsNothingOnAnOldView);
    CPPUNIT_TEST(aSmallHostMakesWayForALargerOne);
    CPPUNIT_TEST(smallHostsDoNotPassOwnershipAroundWhenTheLargerOnesAreGone);
    CPPUNIT_TEST_SUITE_END();

public:
    void adoptsWhatAKilledOwnerPlaced()
    {
        DispatchWorld world(3, 2);
        world.run(settling);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{4'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1), plainStep(1, {0})}));
        world.run(Milliseconds{500});
        const auto former = world.owner().value();
        world.kill(former);
        world.run(Milliseconds{6'000});
        CPPUNIT_ASSERT(world.owner().has_value());
        CPPUNIT_ASSERT(world.phaseAt((former + 1) % 3, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    /** A new owner wrote "not ended" over a failed job whose other runs were still being stopped. */
    void keepsTheEndOfAJobWhoseRunsAreAdopted()
    {
        DispatchWorld world(2, 3);
        world.run(settling);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{50}, RunEnd::Failed}, {Milliseconds{1'500}, RunEnd::Failed}};
        world.scripts[{1, 0, 1, 0}] = {{Milliseconds{60'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1), plainStep(1)}));
        world.run(Milliseconds{500});
        world.linkModes[world.runningOn({1, 0, 1, 0}).value()] = LinkMode::Cut;
        world.run(Milliseconds{2'500});
        const auto former = world.owner().value();
        world.kill(former);
        world.run(Milliseconds{3'000});
        world.kill(1 - former);
        world.restart(former);
        world.run(Milliseconds{3'000});
        CPPUNIT_ASSERT(world.phaseAt(former, 1) == JobPhase::Failed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    void resendsWhatWasNotAnswered()
    {
        DispatchWorld world(2, 2);
        world.run(settling);
        for (std::size_t n = 0; n < 2; ++n) {
            world.storeModes[n] = StoreMode::LosesAnswers;
        }
        const auto handle = world.submit(0, 1, jobOf({plainStep(2)}));
        world.run(Milliseconds{300});
        for (std::size_t n = 0; n < 2; ++n) {
            world.storeModes[n] = StoreMode::Up;
        }
        world.run(Milliseconds{3'000});
        CPPUNIT_ASSERT(world.answerOf(handle)->result == CallResult::Done);
        CPPUNIT_ASSERT(world.phaseAt(1, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    void tellsTheTruthWhenTheStoreIsDown()
    {
        DispatchWorld world(2, 2);
        world.run(settling);
        for (std::size_t n = 0; n < 2; ++n) {
            world.storeModes[n] = StoreMode::Down;
        }
        const auto refused = world.submit(0, 1, jobOf({plainStep(1)}));
        world.storeModes[1] = StoreMode::Silent;
        const auto undecided = world.submit(1, 2, jobOf({plainStep(1)}));
        world.run(Milliseconds{4'000});
        CPPUNIT_ASSERT(world.answerOf(refused)->result == CallResult::NotRun);
        CPPUNIT_ASSERT(world.answerOf(refused)->retryAfter > Milliseconds{0});
        CPPUNIT_ASSERT(world.answerOf(undecided)->result == CallResult::Undecided);
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
        world.run(settling);
        const auto former = world.owner().value();
        world.storeModes[former] = StoreMode::Down;
        world.run(Milliseconds{3'500});
        const auto handle = world.submit((former + 1) % 3, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{1'500});
        CPPUNIT_ASSERT(world.answerOf(handle)->result == CallResult::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        CPPUNIT_ASSERT(!world.entry(former).isOwner());
        assertNoViolations(world);
    }

    void waitsForTheLeaseOfASilentWorker()
    {
        DispatchWorld world(2, 2);
        world.run(settling);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{60'000}, RunEnd::Done}, {Milliseconds{100}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{500});
        const std::size_t where = world.worker(0).runningCount() > 0 ? 0 : 1;
        world.linkModes[where] = LinkMode::Cut;
        world.run(Milliseconds{4'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        world.run(Milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.startsOf({1, 0, 0, 0}));
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    void survivesStartsThatAreCarriedOutLate()
    {
        DispatchWorld world(2, 2);
        world.run(settling);
        world.linkModes[0] = LinkMode::Late;
        world.linkModes[1] = LinkMode::Late;
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
        world.run(settling);
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

    void endsRunsOfAWorkerThatWasBornAgain()
    {
        DispatchWorld world(2, 1);
        world.run(settling);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{60'000}, RunEnd::Done}, {Milliseconds{100}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{500});
        world.worker(0).restart(world.now());
        world.run(Milliseconds{2'500});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    void aFrozenOwnerDoesNoHarm()
    {
        DispatchWorld world(3, 2);
        world.run(settling);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{1'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1), plainStep(4, {0})}));
        world.run(Milliseconds{300});
        const auto former = world.owner().value();
        world.freeze(former, Milliseconds{4'000});
        world.run(Milliseconds{8'000});
        CPPUNIT_ASSERT(!world.entry(former).isOwner());
        CPPUNIT_ASSERT(world.phaseAt(former, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    void movesATaskThatStandsStill()
    {
        DispatchWorld world(2, 3);
        world.run(settling);
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

    /** Under a slow store each placement was stored after its ticket had expired, and was placed anew. */
    void renewsTicketsThatExpireBeforeTheirPlacementIsStored()
    {
        DispatchWorld world(1, 2);
        auto configuration = plainConfiguration();
        configuration.queues[0].policy.advice = {true, 10, 1, Milliseconds{300}};
        world.publish(configuration);
        world.run(settling);
        world.submit(0, 1, jobOf({plainStep(4)}));
        world.run(Milliseconds{20});
        world.storeDelay = Milliseconds{400};
        world.run(Milliseconds{3'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 3}));
        assertNoViolations(world);
    }

    /** A lasting task on a worker that had left was placed again only 14 s after a change of owner. */
    void waitsNoLongerThanALeaseOnceTheFormerOwnerHasResigned()
    {
        DispatchWorld world(3, 3);
        world.run(settling + Milliseconds{4'000});
        auto step = plainStep(1);
        step.endless = true;
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{90'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({step}));
        world.run(Milliseconds{500});
        world.linkModes[world.runningOn({1, 0, 0, 0}).value()] = LinkMode::Cut;
        const auto former = world.owner().value();
        world.storeModes[former] = StoreMode::Silent;
        world.run(Milliseconds{3'000});
        world.storeModes[former] = StoreMode::Up;
        world.run(Milliseconds{6'500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    /** A read that brought only a part of what was stored was taken for all of it. */
    void deniesNoJobBeforeItHasReadAll()
    {
        constexpr JobId jobs = 60;
        DispatchWorld world(3, 2);
        world.run(settling);
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
        CPPUNIT_ASSERT(!world.answerOf(handle) || world.answerOf(handle)->result != CallResult::UnknownJob);
        assertNoViolations(world);
    }

    /**
     * After a repeated start had been rejected, the journal named a later number than that of the run. The next owner
     * found no such run on the worker, took no note of its end, and started the task again.
     */
    void writesTheNumberOfTheRunThatIsPlaced()
    {
        DispatchWorld world(1, 1);
        world.run(settling);
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

    void takesTheEndOfARunThatWasGivenUp()
    {
        DispatchWorld world(1, 1);
        world.run(settling);
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

    /** An owner that lagged behind the journal started a task whose job had been cancelled seconds before. */
    void startsNothingOnAnOldView()
    {
        DispatchWorld world(3, 1);
        world.run(settling);
        const auto owner = world.owner().value();
        const auto other = (owner + 1) % 3;
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{4'000}, RunEnd::Done}};
        world.submit(other, 1, jobOf({plainStep(1), plainStep(1, {0})}));
        world.run(Milliseconds{500});
        world.recordsPerRead = 0;
        world.run(Milliseconds{100});
        const auto handle = world.call(other, CallVerb::Cancel, 1);
        world.run(Milliseconds{6'000});
        CPPUNIT_ASSERT(world.answerOf(handle)->result == CallResult::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOf({1, 0, 1, 0}));
        assertNoViolations(world);
    }

    /** A host with an eighth of a core decided for the rest of the day once it had taken over. */
    void aSmallHostMakesWayForALargerOne()
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

    void smallHostsDoNotPassOwnershipAroundWhenTheLargerOnesAreGone()
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
