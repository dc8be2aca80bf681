/** @file worker_model.h Model of a worker with a lease, a fencing token, and running and ended runs. */
#pragma once

#include "dispatch/message_type.h"

#include <functional>
#include <map>
#include <set>
#include <utility>

namespace flamingotally::standin
{

/** Scripted behaviour of a run. */
struct RunScript {
    Milliseconds work{100}; ///< Duration of the run.
    dispatch::RunEnd end = dispatch::RunEnd::Done; ///< How the run ends when its duration has passed.
    bool isStalled = false; ///< The run makes no progress and does not end.
    /** Time after its start at which the run crashes its worker; unset for a run that does not. */
    std::optional<Milliseconds> crashesAfter{};
    Milliseconds downtime{3'000}; ///< Time from the crash to the worker's next boot.
};

/** A started run, as it is passed to the hooks. */
struct StartedRun {
    dispatch::TaskName task;
    dispatch::RunNumber run = 0;
    std::string worker;
    Milliseconds at{0}; ///< Start time.
};

/** Callbacks of the model, which determine the behaviour of runs and observe them. */
struct WorkerHooks {
    /** Returns the behaviour of a run. */
    std::function<RunScript(const dispatch::TaskName &, dispatch::RunNumber)> script;
    std::function<void(const StartedRun &)> started; ///< Called after the start of a run.
    std::function<void(const StartedRun &, dispatch::RunEnd)> ended; ///< Called when a run ends.
    /** Called with the id of the worker and the time of its next boot when a run crashes it; may be empty. */
    std::function<void(const std::string &, Milliseconds)> crashed{};
};

/** A worker. Its own clock is zero at boot and advances with the time that the caller passes in. */
class WorkerModel
{
public:
    /**
     * Boots a worker.
     * @param bootedAt Boot time by the clock of the caller.
     */
    WorkerModel(std::string id, Resources capacity, WorkerHooks hooks, Milliseconds bootedAt);

    /**
     * Renews the lease of all runs, drops the acknowledged ends, and returns the running runs and the first of the
     * ended runs that were not acknowledged. A fenced order has no effect.
     */
    dispatch::PollResponse poll(const dispatch::PollOrder &order, Milliseconds now);

    /**
     * Starts a run. The order is refused when its token is fenced (Fenced), when another run of the task is running or
     * when this or a later run was stopped or has ended (Superseded), or when its lease has expired (Late). An order
     * for the run that is already running is accepted and has no effect.
     */
    dispatch::OrderResult start(const dispatch::StartOrder &order, Milliseconds now);

    /**
     * Stops the run of a task that has this or a lower run number, and refuses from then on to start the task with such
     * a number. A fenced order has no effect.
     */
    dispatch::OrderResult stop(const dispatch::StopOrder &order, Milliseconds now);

    /** Ends runs that have finished or whose lease has expired, and crashes when a run causes that. */
    void advance(Milliseconds now);

    /** Crashes and boots again under the same id. Running runs end as LeaseExpired; all other state is lost. */
    void restart(Milliseconds now);

    /**
     * Returns true between a crash that a run has caused and the boot that follows it. Until then the worker answers
     * every order with NoResponse and executes none.
     */
    bool isDown(Milliseconds now) const
    {
        return now < m_bootedAt;
    }

    /** Returns the incarnation that the answers to polls name. */
    std::uint64_t incarnation() const
    {
        return static_cast<std::uint64_t>(m_bootedAt.count()) + 1;
    }

    /** Returns how often a run has crashed the worker. */
    std::size_t crashes() const
    {
        return m_crashes;
    }

    /** Gives the worker another id, as a platform does that replaces a crashed worker by a new one. */
    void setId(std::string id)
    {
        m_id = std::move(id);
    }

    /** Limits the number of ends in the answer to a poll; the first ones are listed. */
    void setMaxEndsPerReport(std::size_t n)
    {
        m_maxEndsPerReport = n;
    }

    /** Makes the rows about a run in the answers to polls malformed; the number of its end can still be read. */
    void garbleRowsOf(const dispatch::TaskName &task, dispatch::RunNumber run)
    {
        m_garbled.insert({task, run});
    }

    void setCapacity(const Resources &capacity)
    {
        m_capacity = capacity;
    }

    /**
     * Returns the time at which the next run ends, by its script, its lease or a crash, or nothing when none is
     * running.
     */
    std::optional<Milliseconds> nextEnd() const;

    /** Returns true when there are ended runs that no daemon has acknowledged. */
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
    /** Returns the time at which a run ends, by its script, its lease or the crash that it causes. */
    Milliseconds endOf(const Running &run) const;
    /** Ends the runs that have finished or whose lease has expired by the given time. */
    void endRuns(Milliseconds now);
    /** A crash that a running run will cause. */
    struct Crash {
        Milliseconds at{0};
        Milliseconds backAt{0}; ///< When the worker boots again.
    };

    /** Returns the first crash that a running run will cause; nothing when none does. */
    std::optional<Crash> nextCrash() const;
    void endRun(std::map<dispatch::TaskName, Running>::iterator it, dispatch::RunEnd how);
    /** Converts the time of the caller to the worker's own clock. */
    WorkerTime clock(Milliseconds now) const;
    /** Records a fencing token. Returns false when it is older than the newest token. */
    bool acceptToken(dispatch::Token token);

    std::string m_id;
    Resources m_capacity;
    WorkerHooks m_hooks;
    Milliseconds m_bootedAt;
    dispatch::Token m_token = 0;
    WorkerTime m_leaseUntil{};
    std::uint64_t m_nextEndNumber = 1;
    std::size_t m_crashes = 0;
    std::map<dispatch::TaskName, Running> m_running;
    std::vector<dispatch::EndRow> m_ended;
    std::size_t m_maxEndsPerReport = 500;
    std::set<std::pair<dispatch::TaskName, dispatch::RunNumber>> m_garbled; ///< Runs whose rows are malformed.
    /** Highest run number of each task that was stopped or has ended on this worker. */
    std::map<dispatch::TaskName, dispatch::RunNumber> m_highestRuns;
};

} // namespace flamingotally::standin
