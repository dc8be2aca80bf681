/** @file dispatch_latency_test.cpp What callers wait for without need, and no longer do. */
#include "fakes/dispatch_world.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

namespace
{

constexpr Milliseconds settling{2'000}; ///< For the first owner and the first looks at workers.
constexpr Milliseconds never{3'600'000};

} // namespace

class DispatchLatencyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchLatencyTest);
    CPPUNIT_TEST(tellsAStateAsItWasWhenItWasAskedFor);
    CPPUNIT_TEST(tellsAStateAsKnownWhileTheStoreIsSilent);
    CPPUNIT_TEST(asksAboutTheNextStepBeforeItOpens);
    CPPUNIT_TEST(keepsARelayForShortQuestionsWhenOthersFail);
    CPPUNIT_TEST(asksAgainAfterAQuestionThatFailed);
    CPPUNIT_TEST(keepsRoomNoLongerThanAPass);
    CPPUNIT_TEST_SUITE_END();

public:
    void tellsAStateAsItWasWhenItWasAskedFor()
    {
        DispatchWorld world(3, 1);
        world.run(settling);
        const auto reader = makeSlowReader(world);
        world.run(Milliseconds{800});
        const auto handle = world.call(reader, CallVerb::Query, 1);
        world.run(Milliseconds{50});
        CPPUNIT_ASSERT(world.answerOf(handle).has_value());
        CPPUNIT_ASSERT(world.answerOf(handle)->phase == JobPhase::Completed);
        assertNoViolations(world);
    }

    void tellsAStateAsKnownWhileTheStoreIsSilent()
    {
        DispatchWorld world(3, 1);
        world.run(settling);
        const auto reader = makeSlowReader(world);
        world.run(Milliseconds{800});
        world.storeModes[reader] = StoreMode::Silent;
        const auto handle = world.call(reader, CallVerb::Query, 1);
        world.run(Milliseconds{150});
        CPPUNIT_ASSERT(world.answerOf(handle).has_value());
        CPPUNIT_ASSERT(world.answerOf(handle)->result == CallResult::Done);
        assertNoViolations(world);
    }

    void asksAboutTheNextStepBeforeItOpens()
    {
        DispatchWorld world(2, 2);
        requireAdvice(world, 10);
        world.run(settling);
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{100}, RunEnd::Done}};
        world.scripts[{1, 0, 0, 1}] = {{Milliseconds{600}, RunEnd::Done}};
        const auto begin = world.now();
        world.submit(0, 1, jobOf({plainStep(2), plainStep(1, {0})}));
        world.run(Milliseconds{1'500});
        const auto asked = world.askedAt.find({1, 1});
        CPPUNIT_ASSERT(asked != world.askedAt.end());
        CPPUNIT_ASSERT(asked->second - begin < Milliseconds{600});
        CPPUNIT_ASSERT(world.phaseAt(0, 1) == JobPhase::Completed);
        assertNoViolations(world);
    }

    /** Long questions took all relays that were left, so jobs in a hurry waited for them. */
    void keepsARelayForShortQuestionsWhenOthersFail()
    {
        DispatchWorld world(4, 2);
        requireAdvice(world, 600);
        world.run(settling);
        const auto owner = world.owner().value();
        avoidTwoRelays(world, owner);
        for (JobId job = 1; job <= 4; ++job) {
            world.adviceTimes[job] = Milliseconds{600};
            world.submit(owner, job, jobOf({plainStep(1)}));
        }
        world.run(Milliseconds{200});
        auto spec = jobOf({plainStep(1)});
        const auto handle = world.submitTo("/s/", owner, 9, std::move(spec));
        world.run(Milliseconds{200});
        CPPUNIT_ASSERT(world.answerOf(handle).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({9, 0, 0, 0}));
        assertNoViolations(world);
    }

    void asksAgainAfterAQuestionThatFailed()
    {
        DispatchWorld world(3, 2);
        requireAdvice(world, 10);
        world.run(settling);
        world.requestsToFail = 1;
        world.submit(0, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{1'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, world.startsOf({1, 0, 0, 0}));
        assertNoViolations(world);
    }

    /** Room that was kept for tasks that wait stood in the way when their tickets were to be renewed. */
    void keepsRoomNoLongerThanAPass()
    {
        DispatchWorld world(1, 2);
        world.run(settling);
        auto large = plainStep(1);
        large.perTask = {4'000, 1'024, 0};
        for (JobId job = 1; job <= 6; ++job) {
            world.scripts[{job, 0, 0, 0}] = {{Milliseconds{5'000}, RunEnd::Done}};
            world.submit(0, job, jobOf({large}));
        }
        world.run(Milliseconds{1'500});
        auto &entry = world.entry(0);
        CPPUNIT_ASSERT(!entry.work.waiting.empty());
        CPPUNIT_ASSERT(entry.work.pass.largeReservations > 0);
        entry.workers.table.forEach([&](WorkerRef worker) {
            CPPUNIT_ASSERT(entry.workers.table.get<WorkerLoad>(worker).reservedInPass < entry.work.pass.number);
        });
        assertNoViolations(world);
    }

private:
    /**
     * Has a job of 300 ms run that a follower knows of, and makes that follower read the journal no more unasked.
     * @return The follower.
     */
    static std::size_t makeSlowReader(DispatchWorld &world)
    {
        const std::size_t reader = world.owner().value() == 0 ? 1 : 0;
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{500}, RunEnd::Done}};
        world.submit(2, 1, jobOf({plainStep(1)}));
        world.run(Milliseconds{250});
        CPPUNIT_ASSERT(world.entry(reader).jobs.byId.contains(1));
        world.entry(reader).settings.followerReadPause = Milliseconds{2'000};
        world.run(Milliseconds{250});
        return reader;
    }

    /** Puts a second, quick queue "/s/" beside the plain one, whose policy service takes some time for a step. */
    static void requireAdvice(DispatchWorld &world, double decideMs)
    {
        auto configuration = plainConfiguration();
        configuration.queues[0].policy.advice = {true, decideMs, 1, Milliseconds{1'500}};
        auto quick = configuration.queues[0];
        quick.name = "s";
        quick.pathPrefix = "/s/";
        quick.policy.advice = {true, 10, 1, Milliseconds{1'500}};
        configuration.queues.push_back(quick);
        world.publish(configuration);
    }

    static void avoidTwoRelays(DispatchWorld &world, std::size_t owner)
    {
        for (std::size_t n = 1; n <= 2; ++n) {
            const auto &name = world.entry((owner + n) % 4).settings.name;
            world.entry(owner).advice.relays[name].avoidUntil = MonotonicTime{world.now() + never};
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchLatencyTest);
