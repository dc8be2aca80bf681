/** @file dispatch_report_test.cpp Tests of reports of workers that lack ends, or have rows that cannot be read. */
#include "dispatch_fixture.h"

#include <algorithm>

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

namespace
{

constexpr std::uint32_t tasks = 4; ///< As many as run on one worker at the same time.
constexpr Milliseconds workTime{1'000};
constexpr Milliseconds startTime{300}; ///< Time within which a job is accepted and its tasks are started.
constexpr Milliseconds outage{1'500}; ///< Of the store; all runs end during it.
constexpr Milliseconds catchUpTime{4'000}; ///< Time within which a new owner has claimed the cell and read all ends.

/** Returns the number of log events of a kind. */
std::size_t countEvents(const DispatchWorld &world, EventKind kind)
{
    return static_cast<std::size_t>(std::ranges::count(world.events, kind, &Event::kind));
}

/** A cell whose worker lists one end at a time, and a job whose tasks all end there while the store is away. */
struct OutageFixture {
    OutageFixture()
    {
        world.worker(0).setMaxEndsPerReport(1);
        world.defaultScript.work = workTime;
        world.run(settleTime);
        world.submit(0, 1, jobOf({plainStep(tasks)}));
        world.run(startTime);
        CPPUNIT_ASSERT_EQUAL(std::size_t{tasks}, world.startsOn(0));
        setStores(StoreMode::Down);
        world.run(outage);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.worker(0).runningCount());
    }

    void setStores(StoreMode mode)
    {
        for (std::size_t n = 0; n < daemons; ++n) {
            world.storeModes[n] = mode;
        }
    }

    /** Checks that every task of the job has run once, and that all daemons show the job as completed. */
    void assertEachRanOnce()
    {
        world.run(catchUpTime);
        for (std::size_t n = 0; n < daemons; ++n) {
            CPPUNIT_ASSERT(world.phaseAt(n, 1) == JobPhase::Completed);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{tasks}, world.startsOn(0));
        assertNoViolations(world);
    }

    static constexpr std::size_t daemons = 2;
    DispatchWorld world{daemons, 1};
};

} // namespace

class DispatchReportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchReportTest);
    CPPUNIT_TEST(keepsRunsWhoseEndsAreNotListedYet);
    CPPUNIT_TEST(newOwnerKeepsRunsWhoseEndsAreNotListedYet);
    CPPUNIT_TEST(keepsRunsWhoseEndsAreNotListedYetAfterARestartOfAll);
    CPPUNIT_TEST(startsARunThatNeverArrivedOnceAllEndsWereListed);
    CPPUNIT_TEST(stopsARunWhoseRowCannotBeReadBeforeTheNextOne);
    CPPUNIT_TEST(endThatCannotBeReadHoldsNoOtherBack);
    CPPUNIT_TEST(newIncarnationLosesNoEndsToTheAcknowledgementsOfTheOldOne);
    CPPUNIT_TEST(newIncarnationExecutesNoLateStartBesideTheNextRun);
    CPPUNIT_TEST_SUITE_END();

public:
    /** Runs whose ends were beyond those that one report lists were taken for lost, and their tasks started again. */
    void keepsRunsWhoseEndsAreNotListedYet()
    {
        OutageFixture fixture;
        fixture.setStores(StoreMode::Up);
        fixture.assertEachRanOnce();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countEvents(fixture.world, EventKind::ReportCutOff));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countEvents(fixture.world, EventKind::ReportComplete));
    }

    /** A new owner discarded the runs that its first report did not list. */
    void newOwnerKeepsRunsWhoseEndsAreNotListedYet()
    {
        OutageFixture fixture;
        const auto previous = fixture.world.owner().value();
        fixture.world.kill(previous);
        fixture.setStores(StoreMode::Up);
        fixture.world.run(catchUpTime);
        fixture.world.restart(previous);
        fixture.assertEachRanOnce();
    }

    void keepsRunsWhoseEndsAreNotListedYetAfterARestartOfAll()
    {
        OutageFixture fixture;
        for (std::size_t n = 0; n < OutageFixture::daemons; ++n) {
            fixture.world.kill(n);
            fixture.world.restart(n);
        }
        fixture.setStores(StoreMode::Up);
        fixture.assertEachRanOnce();
    }

    /** A report that lacks ends says nothing of a run that never started, but the wait for a complete one is short. */
    void startsARunThatNeverArrivedOnceAllEndsWereListed()
    {
        DispatchWorld world(2, 1);
        world.worker(0).setMaxEndsPerReport(1);
        world.scripts[{1, 0, 0, 0}] = {{workTime, RunEnd::Done}};
        world.scripts[{1, 0, 0, 1}] = {{workTime, RunEnd::Done}};
        world.scripts[{1, 0, 0, 2}] = {{workTime, RunEnd::Done}};
        world.run(settleTime);
        world.submit(0, 1, jobOf({plainStep(3)}));
        world.run(startTime);
        world.linkModes[0] = LinkMode::LosesStarts;
        world.submit(0, 2, jobOf({plainStep(1)}));
        world.run(startTime);
        const auto previous = world.owner().value();
        world.kill(previous);
        world.linkModes[0] = LinkMode::Up;
        world.run(catchUpTime);
        CPPUNIT_ASSERT(world.phaseAt(1 - previous, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT(world.phaseAt(1 - previous, 2) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({2, 0, 0, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, world.startsOn(0));
        CPPUNIT_ASSERT(countEvents(world, EventKind::ReportCutOff) > 0);
        assertNoViolations(world);
    }

    /** A run whose row could not be read was taken for lost, and its task started again beside it. */
    void stopsARunWhoseRowCannotBeReadBeforeTheNextOne()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        const TaskName task{1, 0, 0, 0};
        world.scripts[task] = {{Milliseconds{3'000}, RunEnd::Done}, {workTime, RunEnd::Done}};
        for (std::size_t n = 0; n < 2; ++n) {
            world.worker(n).garbleRowsOf(task, 1);
        }
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(catchUpTime);
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.startsOf(task));
        assertNoViolations(world);
    }

    /** An end that could not be read was never acknowledged, so that its worker listed it, and few others, for good. */
    void endThatCannotBeReadHoldsNoOtherBack()
    {
        DispatchWorld world(2, 1);
        world.worker(0).setMaxEndsPerReport(1);
        world.defaultScript.work = workTime;
        const TaskName task{1, 0, 0, 0};
        world.scripts[task] = {{workTime / 2, RunEnd::Failed}, {workTime, RunEnd::Done}};
        world.worker(0).garbleRowsOf(task, 1);
        world.run(settleTime);
        world.submit(0, 1, jobOf({plainStep(tasks)}));
        world.run(catchUpTime);
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{tasks} + 1, world.startsOn(0));
        CPPUNIT_ASSERT(!world.worker(0).hasUnacknowledgedEnds());
        assertNoViolations(world);
    }

    /**
     * The new incarnation of a worker that had restarted under its id got the acknowledgement of the old one, and
     * dropped an end that it had not listed yet, so that its task was started again.
     */
    void newIncarnationLosesNoEndsToTheAcknowledgementsOfTheOldOne()
    {
        DispatchWorld world(2, 1);
        world.run(settleTime);
        world.submit(0, 1, jobOf({plainStep(tasks)}));
        world.run(startTime + workTime);
        CPPUNIT_ASSERT(!world.worker(0).hasUnacknowledgedEnds());
        world.scripts[{2, 0, 0, 0}] = {{Milliseconds{50}, RunEnd::Done}};
        world.linkModes[0] = LinkMode::Cut;
        world.submit(0, 2, jobOf({plainStep(1)}));
        world.run(startTime);
        world.restartWorker(0);
        world.run(startTime);
        world.linkModes[0] = LinkMode::Up;
        world.run(catchUpTime);
        CPPUNIT_ASSERT(world.phaseAt(0, 2) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({2, 0, 0, 0}));
        assertNoViolations(world);
    }

    /**
     * A start order got no response, and the worker confirmed its repetition and restarted. The task was started on
     * another worker, and the new incarnation executed the first order late, beside that run.
     */
    void newIncarnationExecutesNoLateStartBesideTheNextRun()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        const TaskName task{1, 0, 0, 0};
        world.scripts[task] = {{Milliseconds{8'000}, RunEnd::Done}};
        world.linkModes[0] = LinkMode::DelaysStarts;
        world.linkModes[1] = LinkMode::DelaysStarts;
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(startTime);
        world.linkModes.clear();
        world.run(workTime);
        const auto worker = world.runningOn(task).value();
        world.setCapacity(worker, {}); // the next run gets another worker
        world.restartWorker(worker);
        world.run(Milliseconds{12'000});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.startsOf(task));
        assertNoViolations(world);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchReportTest);
