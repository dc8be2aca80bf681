/** @file worker_model.h Model of a worker: lease, fencing token, running and ended runs. */
#pragma once

#include "dispatch/message_type.h"

#include <functional>
#include <map>
#include <set>

namespace flamingotally::standin
{

/** Scripted behaviour of a run. */
struct RunScript {
    Milliseconds work{100}; ///< Duration of the run.
    dispatch::RunEnd end = dispatch::RunEnd::Done;
    bool stalls = false; ///< The run makes no progress and does not end.
};

/** A started run, as reported to hooks. */
struct StartedRun {
    dispatch::TaskName task;
    dispatch::RunNumber run = 0;
    std::string worker;
    Milliseconds at{0}; ///< Start time.
};

/** Callbacks by which the user of the model scripts and observes runs. */
struct WorkerHooks {
    std::function<RunScript(const dispatch::TaskName &, dispatch::RunNumber)>
        script; ///< Returns the behaviour of a run.
    std::function<void(const StartedRun &)> started;
    std::function<void(const StartedRun &, dispatch::RunEnd)> ended;
};

/** A worker. Its own clock starts at zero when it boots and advances with the time that the caller passes in. */
class WorkerModel
{
public:
    /**
     * Boots a worker.
     * @param bootedAt Boot time by the clock of the caller.
     */
    WorkerModel(std::string id, Resources capacity, WorkerHooks hooks, Milliseconds bootedAt);

    /** Renews the lease, drops acknowledged ends and returns the running and ended runs. */
    dispatch::PollResponse poll(const dispatch::PollOrder &order, Milliseconds now);

    /** Starts a run unless the order is fenced, superseded or late. */
    dispatch::OrderResult start(const dispatch::StartOrder &order, Milliseconds now);

    /** Stops a run and bars the task from starting with this or a lower run number; fenced orders are refused. */
    dispatch::OrderResult stop(const dispatch::StopOrder &order, Milliseconds now);

    /** Ends runs that have finished or whose lease has expired. */
    void advance(Milliseconds now);

    /** Crashes and boots again under the same id. */
    void restart(Milliseconds now);

    /** Returns the time of the next end of a run, or nothing when none is running. */
    std::optional<Milliseconds> nextEnd() const;

    /** Returns true while there are ended runs that the daemon has not acknowledged. */
    bool hasUnacknowledgedEnds() const
    {
        return !m_ended.empty();
    }

    std::size_t runningCount() const
    {
        return m_running.size();
    }

    const std::string &id() const
    {
        return m_id;
    }

    const Resources &capacity() const
    {
        return m_capacity;
    }

private:
    struct Running {
        dispatch::RunNumber run = 0;
        Milliseconds endsAt{0};
        Milliseconds startedAt{0};
        RunScript script;
    };

    static std::uint32_t progressPercent(const Running &run, Milliseconds now);
    void end(std::map<dispatch::TaskName, Running>::iterator it, dispatch::RunEnd how);
    WorkerTime clock(Milliseconds now) const;
    bool acceptToken(dispatch::Token token);

    std::string m_id;
    Resources m_capacity;
    WorkerHooks m_hooks;
    Milliseconds m_bootedAt;
    dispatch::Token m_token = 0;
    WorkerTime m_leaseUntil{};
    std::uint64_t m_nextEnd = 1;
    std::map<dispatch::TaskName, Running> m_running;
    std::vector<dispatch::EndRow> m_ended;
    std::map<dispatch::TaskName, dispatch::RunNumber>
        m_highest; ///< Highest run number that was stopped or has ended on this worker.
};

} // namespace flamingotally::standin
