/** @file dispatch_stage_test.cpp Tests of the log lines that tell where a job has spent its time. */
#include "dispatch_fixture.h"

#include <fmt/format.h>

#include <algorithm>

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

namespace
{

/** Returns the number in a field of the first event of a kind about a job; fails the test if there is none. */
int numberIn(const DispatchWorld &world, EventKind kind, JobId job, std::string_view name)
{
    const auto it =
        std::ranges::find_if(world.events, [&](const Event &event) { return event.kind == kind && event.job == job; });
    CPPUNIT_ASSERT(it != world.events.end());
    const auto key = fmt::format("{}=", name);
    const auto at = it->fields.find(key);
    CPPUNIT_ASSERT(at != std::string::npos);
    return std::stoi(it->fields.substr(at + key.size()));
}

} // namespace

class DispatchStageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchStageTest);
    CPPUNIT_TEST(stagesOfACompletedJobAddUp);
    CPPUNIT_TEST(namesTheStageOfAnOverdueJob);
    CPPUNIT_TEST_SUITE_END();

public:
    void stagesOfACompletedJobAddUp()
    {
        DispatchWorld world(2, 1);
        world.run(settleTime);
        auto step = plainStep(1);
        step.perTask = world.worker(0).capacity();
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{700}, RunEnd::Done}};
        world.scripts[{2, 0, 0, 0}] = {{Milliseconds{300}, RunEnd::Failed}, {Milliseconds{200}, RunEnd::Done}};
        world.submit(0, 1, jobOf({step}));
        world.run(Milliseconds{200});
        world.submit(1, 2, jobOf({step}));
        world.run(Milliseconds{3'000});
        const auto ms = [&](std::string_view name) {
            return numberIn(world, EventKind::JobCompleted, 2, name);
        };
        CPPUNIT_ASSERT(ms("capacity_ms") + ms("earlier_runs_ms") > 700);
        CPPUNIT_ASSERT(ms("earlier_runs_ms") >= 300);
        CPPUNIT_ASSERT(ms("run_ms") > 150);
        const int sum = ms("owner_ms") + ms("earlier_runs_ms") + ms("advice_ms") + ms("capacity_ms") + ms("append_ms")
            + ms("order_ms") + ms("confirmation_ms") + ms("run_ms");
        CPPUNIT_ASSERT_EQUAL(ms("took_ms"), sum);
    }

    void namesTheStageOfAnOverdueJob()
    {
        DispatchWorld world(1, 1);
        world.run(settleTime);
        auto step = plainStep(1);
        step.perTask = world.worker(0).capacity();
        world.scripts[{1, 0, 0, 0}] = {{Milliseconds{5'000}, RunEnd::Done}};
        world.submit(0, 1, jobOf({step}));
        world.run(Milliseconds{100});
        world.submit(0, 2, jobOf({step}));
        world.run(Milliseconds{2'000});
        CPPUNIT_ASSERT(numberIn(world, EventKind::JobOverdue, 2, "age_ms") > 0);
        const auto n = std::ranges::count_if(
            world.events, [](const Event &it) { return it.kind == EventKind::JobOverdue && it.job == 2; });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, n);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchStageTest);
