/** @file worker_model.h A worker as the stand-in plays it: leases, tokens, lists of what runs and what ended. */
#pragma once

#include "dispatch/message_type.h"

#include <functional>
#include <map>
#include <set>

namespace flamingotally::standin
{

/** What a run does. */
struct RunScript {
    Milliseconds work{100};
    dispatch::RunEnd end = dispatch::RunEnd::Done;
    bool stalls = false; ///< It makes no progress and does not end.
};

/** A run that began, for checks. */
struct StartedRun {
    dispatch::TaskName task;
    dispatch::RunNumber run = 0;
    std::string worker;
    Milliseconds at{0};
};

/** What happens to runs, as a world or a server wants to know it. */
struct WorkerHooks {
    std::function<RunScript(const dispatch::TaskName &, dispatch::RunNumber)> script; ///< What a run is to do.
    std::function<void(const StartedRun &)> started;
    std::function<void(const StartedRun &, dispatch::RunEnd)> ended;
};

/** One worker. Its clock is that of its caller, less the time of its birth. */
class WorkerModel
{
public:
    WorkerModel(std::string id, Resources capacity, WorkerHooks hooks, Milliseconds bootedAt);

    dispatch::PollResponse poll(const dispatch::PollOrder &order, Milliseconds now);
    dispatch::OrderResult start(const dispatch::StartOrder &order, Milliseconds now);
    dispatch::OrderResult stop(const dispatch::StopOrder &order, Milliseconds now);

    /** Ends what is done and what has no lease any more. */
    void advance(Milliseconds now);

    /** Dies and starts again under the same id. */
    void restart(Milliseconds now);

    /** When something ends next; nothing when nothing runs. */
    std::optional<Milliseconds> nextEnd() const;

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
    std::map<dispatch::TaskName, dispatch::RunNumber> m_highest; ///< Highest run that was stopped or ended here.
};

} // namespace flamingotally::standin
