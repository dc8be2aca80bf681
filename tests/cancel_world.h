/** @file cancel_world.h A cell whose jobs are cancelled while orders are lost, late or unanswered. */
#pragma once

#include "dispatch_fixture.h"

#include <utility>

namespace flamingotally::fakes
{

/** Time within which no run is left after its job's acknowledged cancellation, or after its own late start. */
constexpr Milliseconds cancelLimit{3'400};

/** A settled cell whose jobs are cancelled. Runs without a script take 10 min. */
class CancelWorld : public DispatchWorld
{
public:
    CancelWorld(std::size_t daemons, std::size_t workers) : DispatchWorld(daemons, workers)
    {
        defaultScript.work = Milliseconds{600'000};
        run(settleTime);
    }

    /** Returns the index of a daemon that does not own the cell. */
    std::size_t follower() const
    {
        return owner().value() == 0 ? 1 : 0;
    }

    /** Submits an endless job of one task, and returns the worker on which the task runs. */
    std::size_t startEndless(dispatch::JobId id)
    {
        submit(0, id, jobOf({endlessStep(1)}));
        run(Milliseconds{500});
        return runningOn({id, 0, 0, 0}).value();
    }

    /** Cancels a job at a daemon; the cancellation must be acknowledged within the given time. */
    void cancel(dispatch::JobId id, std::size_t daemon = 1, Milliseconds time = Milliseconds{100})
    {
        const auto handle = call(daemon, dispatch::CallVerb::Cancel, id);
        run(time);
        CPPUNIT_ASSERT(responseTo(handle).has_value());
        CPPUNIT_ASSERT(responseTo(handle)->result == dispatch::CallResult::Done);
    }

    /** Cancels job 1 a while after its start orders were sent. The only worker executes them after 3 s. */
    void cancelBeforeALateStart(Milliseconds age = Milliseconds{1'000})
    {
        linkModes[0] = LinkMode::DelaysStarts;
        submit(0, 1, jobOf({endlessStep(1)}));
        run(age);
        cancel(1, 1, Milliseconds{60});
    }

    /** Restarts the only worker after a while, and waits until it has executed the late start order of job 1. */
    void restartAndStartLate(Milliseconds time)
    {
        run(time);
        restartWorker(0);
        for (int n = 0; n < 200 && startsOf({1, 0, 0, 0}) == 0; ++n) {
            run(Milliseconds{10});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, startsOf({1, 0, 0, 0}));
    }

    /** Fails the test if a task of the first step of a job runs after the given time. @param size Occurrences, tasks.
     */
    void assertEnds(dispatch::JobId id,
                    Milliseconds time = cancelLimit,
                    std::pair<std::uint32_t, std::uint32_t> size = {1, 1})
    {
        run(time);
        for (std::uint32_t n = 0; n < size.first * size.second; ++n) {
            CPPUNIT_ASSERT(!runningOn({id, n / size.second, 0, n % size.second}));
        }
        assertNoViolations(*this);
    }
};

} // namespace flamingotally::fakes
