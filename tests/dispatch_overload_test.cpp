/** @file dispatch_overload_test.cpp Tests of entry daemons whose link, host or own code fails them. */
#include "dispatch_fixture.h"

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

class DispatchOverloadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchOverloadTest);
    CPPUNIT_TEST(survivesAnUnexpectedError);
    CPPUNIT_TEST(slowOwnerHandsOverOnce);
    CPPUNIT_TEST(ownerThatWasPausedBrieflyStays);
    CPPUNIT_TEST(silentStoreIsNoOverload);
    CPPUNIT_TEST(ownerWritesSoonAfterASilentStoreIsBack);
    CPPUNIT_TEST(writesEndsOfOneStepTogether);
    CPPUNIT_TEST(remembersEndsThatWereNotWrittenYet);
    CPPUNIT_TEST(startsEachRunOnceOverANarrowLink);
    CPPUNIT_TEST(keepsRunsOfWorkersThatOnlySeemSilent);
    CPPUNIT_TEST(givesUpRunsOfSilentWorkersThatAreNoLongerListed);
    CPPUNIT_TEST(usesNoWithdrawnKeyOrLeftWorkerAfterARestart);
    CPPUNIT_TEST_SUITE_END();

public:
    /** An unexpected error ended the process; now the daemon begins anew, and nothing accepted is lost or run twice. */
    void survivesAnUnexpectedError()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{2'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({plainStep(1), plainStep(2, {0})}));
        world.run(Milliseconds{300});
        const auto owner = world.owner().value();
        world.daemonsWithError = {0, 1};
        world.run(Milliseconds{8'000});
        CPPUNIT_ASSERT(world.owner().has_value());
        CPPUNIT_ASSERT(world.phaseAt(owner, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT(world.phaseAt(1 - owner, 1) == JobPhase::Completed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    /** An owner on a host that had become slow kept the cell, though others could have decided. */
    void slowOwnerHandsOverOnce()
    {
        constexpr std::uint32_t tasks = 8;
        DispatchWorld world(3, 4);
        world.run(settleTime);
        const auto slow = world.owner().value();
        world.tickTimes[slow] = Milliseconds{300};
        for (JobId job = 1; job <= 10; ++job) {
            world.submit((slow + 1) % 3, job, jobOf({plainStep(tasks)}));
        }
        world.run(Milliseconds{4'000});
        CPPUNIT_ASSERT(world.owner().has_value());
        CPPUNIT_ASSERT(world.owner().value() != slow);
        const auto next = world.owner().value();
        world.run(Milliseconds{20'000});
        CPPUNIT_ASSERT_EQUAL(next, world.owner().value());
        for (JobId job = 1; job <= 10; ++job) {
            CPPUNIT_ASSERT(world.phaseAt(next, job) == JobPhase::Completed);
        }
        assertNoViolations(world);
    }

    /** A pause of half a second is shorter than any hand-over. */
    void ownerThatWasPausedBrieflyStays()
    {
        DispatchWorld world(3, 2);
        world.run(settleTime);
        const auto owner = world.owner().value();
        world.freeze(owner, Milliseconds{500});
        world.run(Milliseconds{5'000});
        CPPUNIT_ASSERT_EQUAL(owner, world.owner().value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.entry(owner).counters.resignations);
        assertNoViolations(world);
    }

    /**
     * While the store was silent, the next heartbeat had been due for long, which counted as a late tick. The owner
     * took itself for overloaded and released the cell, which nobody could claim before the store was back.
     */
    void silentStoreIsNoOverload()
    {
        DispatchWorld world(3, 2);
        world.run(settleTime);
        const auto owner = world.owner().value();
        world.storeDelay = Milliseconds{400}; // so that appends are given more time
        world.run(Milliseconds{4'000});
        for (std::size_t n = 0; n < 3; ++n) {
            world.storeModes[n] = StoreMode::Silent;
        }
        world.run(Milliseconds{4'000});
        for (std::size_t n = 0; n < 3; ++n) {
            world.storeModes[n] = StoreMode::Up;
        }
        world.storeDelay = Milliseconds{0};
        world.run(Milliseconds{500});
        CPPUNIT_ASSERT(world.owner() == std::optional(owner));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.entry(owner).counters.resignations);
        assertNoViolations(world);
    }

    /**
     * After a silent store was back, the owner went on waiting for the answer to an append from before, for 3 s at
     * most. Meanwhile it wrote nothing, so that another daemon claimed the cell, and nothing was placed.
     */
    void ownerWritesSoonAfterASilentStoreIsBack()
    {
        for (int silence = 3'000; silence < 5'000; silence += 250) {
            DispatchWorld world(3, 2);
            world.run(settleTime);
            const auto owner = world.owner().value();
            for (std::size_t n = 0; n < 3; ++n) {
                world.storeModes[n] = StoreMode::Silent;
            }
            world.run(Milliseconds{silence});
            for (std::size_t n = 0; n < 3; ++n) {
                world.storeModes[n] = StoreMode::Up;
            }
            world.run(Milliseconds{3'000});
            CPPUNIT_ASSERT(world.owner() == std::optional(owner));
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.entry(owner).counters.resignations);
            assertNoViolations(world);
        }
    }

    /** The progress of a job was written at each end of one of its tasks, and all daemons read it as often. */
    void writesEndsOfOneStepTogether()
    {
        constexpr std::uint32_t tasks = 24;
        constexpr std::size_t daemons = 100;
        DispatchWorld world(daemons, 8);
        world.run(settleTime);
        for (std::uint32_t n = 0; n < tasks; ++n) {
            world.scripts[{1, 0, 0, n}] = {{Milliseconds{500 + 25 * n}, RunEnd::Done}};
        }
        world.submit(0, 1, jobOf({plainStep(tasks)}));
        world.run(Milliseconds{450});
        const auto before = world.topic.end();
        world.run(Milliseconds{650});
        const auto written = world.topic.end() - before;
        CPPUNIT_ASSERT(written < tasks / 2);
        world.run(Milliseconds{1'000});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        for (std::size_t n = 0; n < 8; ++n) {
            CPPUNIT_ASSERT(!world.worker(n).hasUnacknowledgedEnds());
        }
        assertNoViolations(world);
    }

    /** An end that is not written yet is not acknowledged either, so the next owner learns of it from the worker. */
    void remembersEndsThatWereNotWrittenYet()
    {
        constexpr std::uint32_t tasks = 8;
        for (int delay = 0; delay < 400; delay += 25) {
            DispatchWorld world(2, 4);
            world.run(settleTime);
            for (std::uint32_t n = 0; n < tasks; ++n) {
                world.scripts[{1, 0, 0, n}] = {{Milliseconds{300 + 40 * n}, RunEnd::Done}};
            }
            world.submit(0, 1, jobOf({plainStep(tasks)}));
            world.run(Milliseconds{400 + delay});
            const auto previousOwner = world.owner().value();
            world.kill(previousOwner);
            world.run(Milliseconds{6'000});
            CPPUNIT_ASSERT(world.phaseAt(1 - previousOwner, 1) == JobPhase::Completed);
            for (std::uint32_t n = 0; n < tasks; ++n) {
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, n}));
            }
            assertNoViolations(world);
        }
    }

    /**
     * A burst of starts filled the owner's narrow link. Orders and polls waited in it, were given up and sent again,
     * until most workers counted as lost although they worked, and tasks that were done were started again.
     */
    void startsEachRunOnceOverANarrowLink()
    {
        constexpr std::size_t workers = 60;
        constexpr std::uint32_t tasksPerJob = 12;
        constexpr JobId jobs = 20;
        DispatchWorld world(1, workers);
        world.run(settleTime);
        world.linkBytesPerMs = 100;
        for (JobId id = 1; id <= jobs; ++id) {
            for (std::uint32_t n = 0; n < tasksPerJob; ++n) {
                world.scripts[{id, 0, 0, n}] = {{Milliseconds{1'000}, RunEnd::Done}};
            }
            world.submit(0, id, jobOf({plainStep(tasksPerJob)}));
        }
        world.run(Milliseconds{12'000});
        for (JobId id = 1; id <= jobs; ++id) {
            for (std::uint32_t n = 0; n < tasksPerJob; ++n) {
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({id, 0, 0, n}));
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.entry(0).counters.lostRuns);
        assertNoViolations(world);
    }

    /**
     * Most workers did not answer the owner for longer than their leases, but worked and were listed. A task that was
     * done on one of them was started again on another.
     */
    void keepsRunsOfWorkersThatOnlySeemSilent()
    {
        constexpr std::uint32_t tasks = 16;
        DispatchWorld world(1, 4);
        world.run(settleTime);
        for (std::uint32_t n = 0; n < tasks; ++n) {
            world.scripts[{1, 0, 0, n}] = {{Milliseconds{1'000}, RunEnd::Done}};
        }
        world.submit(0, 1, jobOf({plainStep(tasks)}));
        world.run(Milliseconds{500});
        for (std::size_t n = 0; n < 3; ++n) {
            world.linkModes[n] = LinkMode::Cut;
        }
        world.run(Milliseconds{9'000});
        for (std::size_t n = 0; n < 3; ++n) {
            world.linkModes[n] = LinkMode::Up;
        }
        world.run(Milliseconds{2'000});
        for (std::uint32_t n = 0; n < tasks; ++n) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, n}));
        }
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    /** Silence of most workers is no reason to wait for those that have left the list. */
    void givesUpRunsOfSilentWorkersThatAreNoLongerListed()
    {
        constexpr std::uint32_t tasks = 4;
        DispatchWorld world(1, 4);
        world.run(settleTime);
        for (std::uint32_t n = 0; n < tasks; ++n) {
            world.scripts[{1, 0, 0, n}] = {{Milliseconds{60'000}, RunEnd::Done}, {Milliseconds{100}, RunEnd::Done}};
        }
        world.submit(0, 1, jobOf({plainStep(tasks)}));
        world.run(Milliseconds{500});
        std::size_t cut = 0;
        for (std::size_t n = 0; n < 3; ++n) {
            cut += world.worker(n).runningCount();
            world.linkModes[n] = LinkMode::Cut;
            world.unlistWorker(n);
        }
        world.run(Milliseconds{9'000});
        std::size_t starts = 0;
        for (std::uint32_t n = 0; n < tasks; ++n) {
            starts += world.startsOf({1, 0, 0, n});
        }
        CPPUNIT_ASSERT(cut > 0);
        CPPUNIT_ASSERT_EQUAL(tasks + cut, starts);
        assertNoViolations(world);
    }

    /** After a restart of all daemons, a key that was withdrawn and a worker that had left must not be used again. */
    void usesNoWithdrawnKeyOrLeftWorkerAfterARestart()
    {
        DispatchWorld world(2, 2);
        world.run(settleTime);
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{1'000});
        world.unlistWorker(0);
        world.run(Milliseconds{500});
        for (std::size_t n = 0; n < 2; ++n) {
            world.kill(n);
        }
        world.run(Milliseconds{500});
        for (std::size_t n = 0; n < 2; ++n) {
            world.restart(n);
        }
        world.run(settleTime);
        const auto accepted = world.submit(0, 2, jobOf({plainStep(4)}));
        world.run(Milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.worker(0).runningCount());
        world.run(Milliseconds{1'000});
        CPPUNIT_ASSERT(world.responseTo(accepted)->result == CallResult::Done);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.worker(0).runningCount());
        auto withoutKeys = world.configuration;
        withoutKeys.teams[0].keys.clear();
        world.publish(withoutKeys);
        world.run(Milliseconds{1'000});
        world.kill(1);
        world.restart(1);
        world.run(settleTime);
        const auto refused = world.submit(1, 3, jobOf({plainStep(1)}));
        world.run(Milliseconds{1'000});
        CPPUNIT_ASSERT(world.responseTo(refused)->result == CallResult::UnknownKey);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world.startsOf({3, 0, 0, 0}));
        assertNoViolations(world);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchOverloadTest);
