/** @file dispatch_crash_test.cpp Tests of entry daemons with tasks that crash the workers on which they are started. */
#include "dispatch_fixture.h"

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

namespace
{

/** Time within which a task has crashed as many workers as it may, and the last crash is known. */
constexpr Milliseconds giveUpTime{40'000};
constexpr std::size_t maxStarts = 3; ///< Starts of a task each of which crashes its worker.
/** The same where crashes come late after the start, or changes of ownership hide some: two after the third crash. */
constexpr std::size_t maxStartsInDoubt = 5;
constexpr TaskName deadly{.job = 1}; ///< The first task of the first job.

/** Returns the script of runs that crash their worker some time after their start. */
std::vector<standin::RunScript> crashingScript(Milliseconds after)
{
    standin::RunScript script;
    script.work = Milliseconds{60'000};
    script.crashesAfter = after;
    return {script};
}

/** Returns the script of runs that take the given time and are done. */
std::vector<standin::RunScript> soundScript(Milliseconds work)
{
    return {{work, RunEnd::Done}};
}

/** Runs the world until workers have been crashed the given number of times; fails the test if they are not. */
void runUntilCrashes(DispatchWorld &world, std::size_t crashes)
{
    constexpr Milliseconds step{10};
    for (Milliseconds waited{0}; world.crashes() < crashes; waited += step) {
        CPPUNIT_ASSERT(waited < giveUpTime);
        world.run(step);
    }
}

/** Runs the world until the deadly task has been started the given number of times; fails the test if it is not. */
void runUntilStarts(DispatchWorld &world, std::size_t starts)
{
    constexpr Milliseconds step{10};
    for (Milliseconds waited{0}; world.startsOf(deadly) < starts; waited += step) {
        CPPUNIT_ASSERT(waited < giveUpTime);
        world.run(step);
    }
}

/** Returns the index of a daemon that is not the owner, of a world with three daemons. */
std::size_t anyFollower(const DispatchWorld &world)
{
    return world.owner().value_or(0) == 0 ? 1 : 0;
}

} // namespace

class DispatchCrashTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchCrashTest);
    CPPUNIT_TEST(givesUpATaskThatCrashesItsWorkers);
    CPPUNIT_TEST(givesUpATaskThatCrashesItsWorkersAtOnce);
    CPPUNIT_TEST(givesUpATaskWhoseWorkersAreReplaced);
    CPPUNIT_TEST(givesUpAnEndlessTaskThatCrashesItsWorkers);
    CPPUNIT_TEST(givesUpATaskThatIsStartedLate);
    CPPUNIT_TEST(givesUpAGangThatCrashesAWorker);
    CPPUNIT_TEST(givesUpATaskWhoseWorkersAreUnlistedWhileTheyAreDown);
    CPPUNIT_TEST(sparesTasksBesideADeadlyOne);
    CPPUNIT_TEST(sparesTasksBesideSeveralDeadlyOnes);
    CPPUNIT_TEST(sparesTasksOnWorkersThatAreCutOff);
    CPPUNIT_TEST(sparesLongTasksOnWorkersThatCrashOften);
    CPPUNIT_TEST(sparesATaskThatWasNearTwoCrashes);
    CPPUNIT_TEST(forgetsCrashesOfATaskThatHasRunForLong);
    CPPUNIT_TEST(sparesTasksOfWorkersThatDrain);
    CPPUNIT_TEST(remembersCrashesWhenTheOwnerChanges);
    CPPUNIT_TEST(remembersCrashesWhenAllAreRestarted);
    CPPUNIT_TEST(countsACrashWithoutAnOwner);
    CPPUNIT_TEST_SUITE_END();

public:
    void givesUpATaskThatCrashesItsWorkers()
    {
        DispatchWorld world(3, 6);
        world.run(settleTime);
        world.scripts[deadly] = crashingScript(Milliseconds{50});
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(giveUpTime);
        assertGivenUp(world);
    }

    void givesUpATaskThatCrashesItsWorkersAtOnce()
    {
        DispatchWorld world(3, 6);
        world.run(settleTime);
        world.scripts[deadly] = crashingScript(Milliseconds{0});
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(giveUpTime);
        assertGivenUp(world);
    }

    /** The workers come back under other ids, at the addresses that they had. */
    void givesUpATaskWhoseWorkersAreReplaced()
    {
        DispatchWorld world(3, 6);
        world.changesIdsAfterCrash = true;
        world.run(settleTime);
        world.scripts[deadly] = crashingScript(Milliseconds{10});
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(giveUpTime);
        assertGivenUp(world);
    }

    void givesUpAnEndlessTaskThatCrashesItsWorkers()
    {
        DispatchWorld world(3, 6);
        world.run(settleTime);
        world.scripts[deadly] = crashingScript(Milliseconds{300});
        auto step = plainStep(1);
        step.endless = true;
        world.submit(0, 1, jobOf({step}));
        world.run(giveUpTime);
        assertGivenUp(world);
    }

    /** Start orders that get no response and are executed late are not known to have arrived when the worker crashes.
     */
    void givesUpATaskThatIsStartedLate()
    {
        DispatchWorld world(3, 4);
        world.run(settleTime);
        for (std::size_t n = 0; n < 4; ++n) {
            world.linkModes[n] = LinkMode::DelaysStarts;
        }
        world.scripts[deadly] = crashingScript(Milliseconds{50});
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(2 * giveUpTime);
        CPPUNIT_ASSERT(world.phaseAt(anyFollower(world), 1) == JobPhase::Failed);
        const auto starts = world.startsOf(deadly);
        world.run(giveUpTime);
        CPPUNIT_ASSERT_EQUAL(starts, world.startsOf(deadly));
    }

    /** A crash of one member's worker counts for the gang; the other members run on other workers. */
    void givesUpAGangThatCrashesAWorker()
    {
        DispatchWorld world(3, 6);
        world.run(settleTime);
        world.scripts[deadly] = crashingScript(Milliseconds{50});
        for (std::uint32_t n = 1; n < 3; ++n) {
            world.scripts[{1, 0, 0, n}] = soundScript(Milliseconds{60'000});
        }
        auto step = plainStep(3);
        step.gang = true;
        step.maxPerWorker = 1;
        world.submit(0, 1, jobOf({step}));
        world.run(2 * giveUpTime);
        assertGivenUp(world);
        CPPUNIT_ASSERT(world.startsOf({1, 0, 0, 1}) <= maxStarts);
    }

    void givesUpATaskWhoseWorkersAreUnlistedWhileTheyAreDown()
    {
        constexpr std::size_t workers = 6;
        DispatchWorld world(3, workers);
        world.run(settleTime);
        world.scripts[deadly] = crashingScript(Milliseconds{50});
        world.submit(0, 1, jobOf({plainStep(1)}));
        for (std::size_t crashes = 1; crashes <= maxStarts; ++crashes) {
            runUntilCrashes(world, crashes);
            world.run(Milliseconds{2'000});
            for (std::size_t n = 0; n < workers; ++n) {
                if (world.worker(n).isDown(world.now())) {
                    world.unlistWorker(n);
                    world.run(Milliseconds{1'500});
                    world.listWorker(n, false);
                }
            }
        }
        world.run(giveUpTime);
        assertGivenUp(world);
    }

    void sparesTasksBesideADeadlyOne()
    {
        constexpr JobId lastSound = 9;
        DispatchWorld world(3, 4);
        world.run(settleTime);
        world.scripts[deadly] = crashingScript(Milliseconds{50});
        for (JobId id = 2; id <= lastSound; ++id) {
            world.scripts[{id, 0, 0, 0}] = soundScript(Milliseconds{2'500});
            world.submit(0, id, jobOf({plainStep(1)}));
        }
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(giveUpTime);
        assertGivenUp(world);
        for (JobId id = 2; id <= lastSound; ++id) {
            CPPUNIT_ASSERT(world.phaseAt(0, id) == JobPhase::Completed);
        }
    }

    void sparesTasksBesideSeveralDeadlyOnes()
    {
        constexpr JobId lastDeadly = 4;
        constexpr JobId lastSound = 20;
        DispatchWorld world(3, 12);
        world.run(settleTime);
        for (JobId id = 1; id <= lastSound; ++id) {
            world.scripts[{id, 0, 0, 0}] =
                id <= lastDeadly ? crashingScript(Milliseconds{50}) : soundScript(Milliseconds{2'000});
            world.submit(0, id, jobOf({plainStep(1)}));
        }
        world.run(2 * giveUpTime);
        for (JobId id = 1; id <= lastSound; ++id) {
            CPPUNIT_ASSERT(world.phaseAt(0, id) == (id <= lastDeadly ? JobPhase::Failed : JobPhase::Completed));
        }
        CPPUNIT_ASSERT(world.crashes() <= lastDeadly * maxStarts);
        assertNoViolations(world);
    }

    /** Each cut lasts longer than the lease. The workers come back under the incarnation that they had. */
    void sparesTasksOnWorkersThatAreCutOff()
    {
        DispatchWorld world(3, 6);
        world.run(settleTime);
        world.scripts[deadly] = soundScript(Milliseconds{12'000});
        world.submit(0, 1, jobOf({plainStep(1)}));
        for (int n = 0; n < 5; ++n) {
            world.run(Milliseconds{3'000});
            const auto worker = world.runningOn(deadly);
            CPPUNIT_ASSERT(worker.has_value());
            world.linkModes[*worker] = LinkMode::Cut;
            world.run(Milliseconds{8'000});
            world.linkModes[*worker] = LinkMode::Up;
        }
        world.run(giveUpTime);
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    /** Workers restart again and again while a task has been running on them for long. */
    void sparesLongTasksOnWorkersThatCrashOften()
    {
        DispatchWorld world(3, 3);
        world.run(settleTime);
        auto step = plainStep(1);
        step.endless = true;
        world.scripts[deadly] = soundScript(Milliseconds{600'000});
        world.submit(0, 1, jobOf({step}));
        for (int n = 0; n < 5; ++n) {
            world.run(Milliseconds{15'000});
            const auto worker = world.runningOn(deadly);
            CPPUNIT_ASSERT(worker.has_value());
            world.worker(*worker).restart(world.now());
        }
        world.run(Milliseconds{5'000});
        CPPUNIT_ASSERT(world.runningOn(deadly).has_value());
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Running);
        assertNoViolations(world);
    }

    /** Many workers crash for another cause, so that two crash right after the start of a sound task. */
    void sparesATaskThatWasNearTwoCrashes()
    {
        DispatchWorld world(3, 4);
        world.run(settleTime);
        world.scripts[deadly] = soundScript(Milliseconds{2'000});
        world.submit(0, 1, jobOf({plainStep(1)}));
        for (std::size_t n = 1; n <= 2; ++n) {
            runUntilStarts(world, n);
            world.run(Milliseconds{50});
            const auto worker = world.runningOn(deadly);
            CPPUNIT_ASSERT(worker.has_value());
            world.worker(*worker).restart(world.now());
        }
        world.run(Milliseconds{6'000});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    /** An endless task is suspected now and then, and runs for long in between. */
    void forgetsCrashesOfATaskThatHasRunForLong()
    {
        DispatchWorld world(3, 3);
        world.run(settleTime);
        auto step = plainStep(1);
        step.endless = true;
        world.scripts[deadly] = soundScript(Milliseconds{600'000});
        world.submit(0, 1, jobOf({step}));
        for (int n = 0; n < 4; ++n) {
            for (const auto time : {Milliseconds{1'500}, Milliseconds{15'000}}) {
                world.run(time);
                const auto worker = world.runningOn(deadly);
                CPPUNIT_ASSERT(worker.has_value());
                world.worker(*worker).restart(world.now());
            }
        }
        world.run(Milliseconds{5'000});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Running);
        assertNoViolations(world);
    }

    /** Each worker is drained and back under another incarnation, as in a planned update. */
    void sparesTasksOfWorkersThatDrain()
    {
        constexpr std::size_t workers = 4;
        DispatchWorld world(3, workers);
        world.run(settleTime);
        world.scripts[deadly] = soundScript(Milliseconds{60'000});
        world.submit(0, 1, jobOf({plainStep(1)}));
        for (std::size_t n = 0; n < workers; ++n) {
            world.run(Milliseconds{1'500});
            const auto worker = world.runningOn(deadly);
            CPPUNIT_ASSERT(worker.has_value());
            world.listWorker(*worker, true);
            world.run(Milliseconds{100});
            world.worker(*worker).restart(world.now());
            world.run(Milliseconds{700});
            world.listWorker(*worker, false);
        }
        world.run(Milliseconds{2'000});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Running);
        assertNoViolations(world);
    }

    /** Each owner sees one crash. It is killed after the next start, long before the next crash. */
    void remembersCrashesWhenTheOwnerChanges()
    {
        DispatchWorld world(3, 6);
        world.run(settleTime);
        world.scripts[deadly] = crashingScript(Milliseconds{6'000});
        world.submit(0, 1, jobOf({plainStep(1)}));
        for (std::size_t crashes = 1; crashes < maxStarts; ++crashes) {
            runUntilCrashes(world, crashes);
            runUntilStarts(world, crashes + 1);
            const auto owner = world.owner().value();
            world.kill(owner);
            world.run(Milliseconds{500});
            world.restart(owner);
        }
        world.run(giveUpTime);
        assertGivenUp(world, maxStartsInDoubt);
    }

    void remembersCrashesWhenAllAreRestarted()
    {
        DispatchWorld world(3, 6);
        world.run(settleTime);
        world.scripts[deadly] = crashingScript(Milliseconds{6'000});
        world.submit(0, 1, jobOf({plainStep(1)}));
        for (std::size_t crashes = 1; crashes < maxStarts; ++crashes) {
            runUntilCrashes(world, crashes);
            runUntilStarts(world, crashes + 1);
            for (std::size_t n = 0; n < 3; ++n) {
                world.restart(n);
            }
        }
        world.run(giveUpTime);
        assertGivenUp(world, maxStartsInDoubt);
    }

    /** The owner is killed before the crash; the worker is back before there is a new owner, or shortly after. */
    void countsACrashWithoutAnOwner()
    {
        DispatchWorld world(3, 6);
        world.run(settleTime);
        world.scripts[deadly] = crashingScript(Milliseconds{400});
        world.submit(0, 1, jobOf({plainStep(1)}));
        for (std::size_t crashes = 1; crashes < maxStarts; ++crashes) {
            runUntilStarts(world, crashes);
            world.run(Milliseconds{200});
            const auto owner = world.owner().value();
            world.kill(owner);
            runUntilCrashes(world, crashes);
            world.restart(owner);
        }
        world.run(2 * giveUpTime);
        CPPUNIT_ASSERT(world.phaseAt(anyFollower(world), 1) == JobPhase::Failed);
        CPPUNIT_ASSERT(world.startsOf(deadly) <= maxStartsInDoubt);
        assertNoViolations(world);
    }

private:
    /** Fails the test unless the first job has failed after at most the given number of starts of its first task. */
    static void assertGivenUp(DispatchWorld &world, std::size_t starts = maxStarts)
    {
        CPPUNIT_ASSERT(world.phaseAt(anyFollower(world), 1) == JobPhase::Failed);
        CPPUNIT_ASSERT(world.startsOf(deadly) <= starts);
        assertNoViolations(world);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchCrashTest);
