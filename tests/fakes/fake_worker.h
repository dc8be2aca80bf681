/** @file fake_worker.h Simulates the control endpoint of a worker: attempts, leases, reports; but not its host. */
#pragma once

#include "fakes/event_queue.h"
#include "fakes/journal.h"

#include <deque>
#include <map>
#include <set>

namespace flamingotally::fakes
{

/** Instructions to a fake worker in a payload. They are encoded as text, so that any front end can transport them. */
struct Task {
    std::uint64_t serial = 0; ///< Number of the submission, unique in a cell.
    Milliseconds runTime{0}; ///< Actual run time; if negative, the task runs until it is stopped.
    bool fails = false; ///< Whether the task fails, on whichever worker it runs.
    std::size_t resultBytes = 16; ///< Length of the result.
};

/** Encodes a task as a payload. */
std::string payloadOf(const Task &task);

/** Decodes a payload. */
Task taskOf(const std::string &payload);

/** Returns the complete result of a task, which is the same on every worker. */
std::string expectedResultOf(const std::string &payload, std::uint32_t ordinal);

/** Control endpoint of one worker. */
class FakeWorker
{
public:
    using Reply = std::function<void(const WorkerReport &)>;

    FakeWorker(EventQueue &queue, Journal &journal, std::size_t index, HostRow row, Resources total);

    /** Processes an exchange. Calls the reply once, unless the worker is killed. */
    void sync(const WorkerSync &sync, Reply reply);

    /** Kills the worker and its tasks. All attempts end as lost, and the next boot has no data about them. */
    void kill();

    /** Starts the worker again after kill(). */
    void boot();

    /** Pauses or resumes the host with its tasks. A task whose lease expires during the pause never runs again. */
    void setPaused(bool paused);

    /** Ends all running tasks as failed. */
    void failRunning();

    const HostRow &row() const
    {
        return m_row;
    }

    const Resources &total() const
    {
        return m_total;
    }

    bool isUp() const
    {
        return m_up;
    }

    /** When the worker was marked as leaving on the host list; notYet if it is not marked. */
    Milliseconds leavingSince = notYet;
    bool failsAll = false; ///< Whether all tasks on this worker fail.
    Milliseconds clockOffset{0}; ///< Offset of the worker's clock from the virtual clock.

private:
    struct Active {
        std::size_t run = 0; ///< Index of the run in the journal.
        WorkerTime leaseUntil{};
        Milliseconds endsAt{0}; ///< When the task ends by itself.
    };
    struct Poll {
        std::uint64_t number = 0;
        Reply reply;
    };

    WorkerTime clock() const;
    void processOrders(const WorkerSync &sync);
    void start(const StartOrder &order);
    void expireLeases();
    void end(AttemptNumber attempt, Outcome outcome);
    void reportEnd(AttemptNumber attempt, Outcome outcome, TaskResult result);
    void scheduleCheck(AttemptNumber attempt);
    void checkAttempt(AttemptNumber attempt, std::uint64_t boot);
    void respondToPolls();
    WorkerReport makeReport() const;

    EventQueue &m_queue;
    Journal &m_journal;
    std::size_t m_index;
    HostRow m_row;
    Resources m_total;
    std::uint64_t m_bootId;
    bool m_up = true;
    bool m_paused = false;
    std::set<AttemptNumber> m_knownAttempts; ///< Attempts with a start or stop order since the boot.
    std::map<AttemptNumber, Active> m_active;
    std::deque<ReportedEnd> m_ends; ///< Ends that are not acknowledged yet.
    std::uint64_t m_lastReport = 0;
    std::uint64_t m_nextPoll = 0;
    std::vector<Poll> m_polls;
    std::vector<std::pair<WorkerSync, Reply>> m_pendingSyncs; ///< Exchanges that arrived while paused.
};

} // namespace flamingotally::fakes
