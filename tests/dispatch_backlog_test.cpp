/** @file dispatch_backlog_test.cpp Tests of an owner with more waiting work than the cell can run. */
#include "dispatch_fixture.h"

#include <fmt/format.h>

#include <algorithm>

using namespace flamingotally;
using namespace flamingotally::dispatch;
using namespace flamingotally::fakes;

namespace
{

constexpr std::size_t workers = 200;
constexpr JobId backlogJobs = 250;
constexpr JobId firstFreshJob = 1'000;

/**
 * Requires tickets on the plain queue, on "/s/", whose jobs go first and should be done soon, and on "/g/", whose jobs
 * go next and whose tickets take long.
 */
void requireTickets(DispatchWorld &world)
{
    auto configuration = plainConfiguration();
    configuration.queues[0].policy.priority = 2;
    configuration.queues[0].policy.advice = {true, 100, 1, Milliseconds{2'000}};
    auto urgent = configuration.queues[0];
    urgent.name = "s";
    urgent.pathPrefix = "/s/";
    urgent.policy.priority = 0;
    urgent.policy.stretch = 1.5;
    urgent.policy.targetLatency = Milliseconds{250};
    urgent.policy.advice = {true, 20, 0.3, Milliseconds{2'000}};
    configuration.queues.push_back(urgent);
    auto slow = configuration.queues[0];
    slow.name = "g";
    slow.pathPrefix = "/g/";
    slow.policy.priority = 1;
    slow.policy.advice = {true, 200, 1, Milliseconds{2'000}};
    configuration.queues.push_back(slow);
    world.publish(configuration);
}

/** Submits jobs that may run on the first ten workers only, and need an entire one for a minute. */
void submitBacklog(DispatchWorld &world)
{
    std::set<std::string> refused;
    for (std::size_t n = 10; n < workers; ++n) {
        refused.insert(fmt::format("w{}", n));
    }
    auto step = plainStep(1);
    step.perTask = world.worker(0).capacity();
    for (JobId job = 1; job <= backlogJobs; ++job) {
        world.refusedByJob[job] = refused;
        world.adviceTimes[job] = Milliseconds{140};
        world.scripts[{job, 0, 0, 0}] = {{Milliseconds{60'000}, RunEnd::Done}};
        world.submit(0, job, jobOf({step}));
    }
}

/** Returns how many completed jobs from an id on ended within their objective. */
std::ptrdiff_t endedInTime(const DispatchWorld &world, JobId from)
{
    return std::ranges::count_if(world.events, [from](const Event &it) {
        const auto number = [&it](std::string_view name) {
            return std::stoi(it.fields.substr(it.fields.find(name) + name.size()));
        };
        return it.kind == EventKind::JobCompleted && it.job >= from && number(" took_ms=") <= number(" objective_ms=");
    });
}

} // namespace

class DispatchBacklogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchBacklogTest);
    CPPUNIT_TEST(urgentJobsEndInTimeBesideABacklogOnASlowHost);
    CPPUNIT_TEST(groupsThatAreTooLateTakeTurns);
    CPPUNIT_TEST(groupsAskAboutDifferentWorkers);
    CPPUNIT_TEST_SUITE_END();

public:
    /**
     * Each pass of the owner looked at every worker for every waiting group. A backlog that could not run kept a slow
     * host busy with that, so that urgent jobs ended late beside free workers for as long as the backlog waited.
     */
    void urgentJobsEndInTimeBesideABacklogOnASlowHost()
    {
        constexpr JobId urgentJobs = 100;
        DispatchWorld world(1, workers);
        requireTickets(world);
        world.run(settleTime);
        submitBacklog(world);
        world.run(Milliseconds{10'000});
        world.examinationsPerMs[0] = 1'000;
        world.run(Milliseconds{2'000});
        auto step = plainStep(4);
        step.runEstimate = Milliseconds{400};
        world.defaultScript = {Milliseconds{400}, RunEnd::Done};
        for (JobId job = 0; job < urgentJobs; ++job) {
            world.submitTo("/s/", 0, firstFreshJob + job, jobOf({step}));
            world.run(Milliseconds{50});
        }
        world.run(Milliseconds{3'000});
        CPPUNIT_ASSERT_GREATEREQUAL(std::ptrdiff_t{urgentJobs * 95 / 100}, endedInTime(world, firstFreshJob));
        assertNoViolations(world);
    }

    /**
     * Work that was too late kept its order by priority. Gangs that found no room asked for tickets again and again,
     * so that a later task was never asked about and waited beside free workers until the end.
     */
    void groupsThatAreTooLateTakeTurns()
    {
        constexpr JobId gangs = 400;
        constexpr JobId last = gangs + 1;
        DispatchWorld world(20, 40);
        requireTickets(world);
        world.run(settleTime);
        auto gang = plainStep(4);
        gang.gang = true;
        gang.perTask = world.worker(0).capacity();
        for (JobId job = 1; job <= gangs; ++job) {
            for (std::size_t n = 3; n < 40; ++n) {
                world.refusedByJob[job].insert(fmt::format("w{}", n)); // three workers may run the four members
            }
            world.adviceTimes[job] = Milliseconds{200};
            world.submitTo("/g/", 0, job, jobOf({gang}));
        }
        world.run(Milliseconds{5'000});
        world.adviceTimes[last] = Milliseconds{140};
        world.scripts[{last, 0, 0, 0}] = {{Milliseconds{2'500}, RunEnd::Failed}, {Milliseconds{100}, RunEnd::Done}};
        world.submit(0, last, jobOf({plainStep(1)}));
        world.run(Milliseconds{12'000}); // 400 requests of 0.2 s, ten at a time, go before its second one
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, world.startsOf({last, 0, 0, 0}));
        assertNoViolations(world);
    }

    /**
     * All groups asked about the same workers, those with the most free capacity. The first that were answered took
     * these, and the others, gangs most of all, asked again beside free workers.
     */
    void groupsAskAboutDifferentWorkers()
    {
        constexpr JobId gangs = 30;
        constexpr std::uint32_t members = 6;
        DispatchWorld world(60, workers);
        requireTickets(world);
        world.run(settleTime);
        auto gang = plainStep(members);
        gang.gang = true;
        gang.perTask = world.worker(0).capacity();
        world.defaultScript = {Milliseconds{10'000}, RunEnd::Done};
        for (JobId job = 1; job <= gangs; ++job) {
            for (std::size_t n = 0; n < workers; ++n) {
                if ((n * 7 + job * 5) % 3 != 0) {
                    world.refusedByJob[job].insert(fmt::format("w{}", n)); // a third of the workers may run it
                }
            }
            world.adviceTimes[job] = Milliseconds{500};
            world.submitTo("/g/", 0, job, jobOf({gang}));
        }
        world.run(Milliseconds{800}); // one request each
        std::size_t begun = 0;
        for (JobId job = 1; job <= gangs; ++job) {
            begun += world.startsOf({job, 0, 0, 0});
        }
        CPPUNIT_ASSERT(begun >= gangs / 2);
        assertNoViolations(world);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchBacklogTest);
