/** @file faulty_world.h A cell in which the runs of some jobs or workers are at fault, beside sound jobs of a team. */
#pragma once

#include "dispatch_fixture.h"

#include <algorithm>

namespace flamingotally::fakes
{

constexpr Milliseconds failsAfter{150}; ///< From the start of a failing run to its end.
constexpr standin::RunScript failingRun{failsAfter, dispatch::RunEnd::Failed};

/** Returns the script of runs that neither progress nor end. */
inline standin::RunScript stalledRun()
{
    standin::RunScript script;
    script.isStalled = true;
    return script;
}

/** A settled cell of three daemons and eight workers, each with room for four tasks. */
class FaultyWorld : public DispatchWorld
{
public:
    static constexpr std::size_t workers = 8;
    static constexpr std::uint32_t tasksOfCell = 32; ///< Tasks of one core that run in the cell at the same time.
    static constexpr dispatch::JobId hopeless = 1; ///< First of the jobs whose runs are all at fault.
    static constexpr dispatch::JobId firstSound = 1'000;

    /** @param maxAttempts Failed runs of a task at which its job fails. */
    explicit FaultyWorld(std::uint32_t maxAttempts = 2) : DispatchWorld(3, workers)
    {
        configuration.queues[0].policy.maxAttempts = maxAttempts;
        run(settleTime);
    }

    /** Sets the script of all runs of the tasks of a job's first step. */
    void scriptAllTasks(dispatch::JobId job, std::uint32_t count, const standin::RunScript &script)
    {
        for (std::uint32_t n = 0; n < count; ++n) {
            scripts[{job, 0, 0, n}] = {script};
        }
    }

    /** Submits a job of one step whose runs all follow a script. */
    void submitScripted(dispatch::JobId job, const dispatch::StepSpec &step, const standin::RunScript &script)
    {
        scriptAllTasks(job, step.count, script);
        submit(0, job, jobOf({step}));
    }

    /** Submits small sound jobs one after the other, as another team, and gives them time to end. */
    void submitSoundJobs()
    {
        constexpr Milliseconds arrivalGap{150};
        constexpr Milliseconds work{300};
        constexpr Milliseconds finishTime{8'000};
        callerKey = "blue key";
        for (dispatch::JobId id = firstSound; id < firstSound + soundJobs; ++id) {
            scripts[{id, 0, 0, 0}] = {{work, dispatch::RunEnd::Done}};
            submit(0, id, jobOf({plainStep(1)}));
            run(arrivalGap);
        }
        run(finishTime);
    }

    /** Checks that sound jobs complete in time beside whatever else is in the cell. */
    void assertSoundJobsComplete()
    {
        submitSoundJobs();
        const auto completed = std::ranges::count_if(events, [](const dispatch::Event &it) {
            return it.kind == dispatch::EventKind::JobCompleted && it.job >= firstSound;
        });
        CPPUNIT_ASSERT_EQUAL(soundJobs, static_cast<std::size_t>(completed));
        CPPUNIT_ASSERT(phaseAt(0, firstSound) == dispatch::JobPhase::Completed);
        assertNoViolations(*this);
    }

    std::size_t countEvents(dispatch::EventKind kind) const
    {
        return static_cast<std::size_t>(std::ranges::count(events, kind, &dispatch::Event::kind));
    }

    /** Returns the number of workers that meet a condition on their health, by the tables of the owner. */
    template<typename Predicate>
    std::size_t countWorkers(Predicate &&predicate)
    {
        auto &table = entry(owner().value()).workers.table;
        std::size_t n = 0;
        table.forEach(
            [&](dispatch::WorkerRef it) { n += predicate(table.template get<dispatch::WorkerHealth>(it)) ? 1 : 0; });
        return n;
    }

    /** Returns the number of workers that get no tasks because of faults of runs. */
    std::size_t countSuspended()
    {
        return countWorkers(
            [this](const dispatch::WorkerHealth &it) { return it.suspendedUntil.time_since_epoch() > now(); });
    }

private:
    static constexpr std::size_t soundJobs = 30;
};

} // namespace flamingotally::fakes
