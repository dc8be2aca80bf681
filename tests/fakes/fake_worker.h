/** @file fake_worker.h A worker at its control endpoint: attempts, leases, reports. It models nothing of the host. */
#pragma once

#include "fakes/event_queue.h"
#include "fakes/journal.h"

#include <deque>
#include <map>
#include <set>

namespace flamingotally::fakes
{

/** What a payload asks a worker to do. Written and read as text, so that any front can carry it. */
struct Task {
    std::uint64_t serial = 0; ///< Number of the submission in its world.
    Milliseconds runTime{0}; ///< Real run time; below zero: until it is stopped.
    bool fails = false; ///< Fails wherever it runs.
    std::size_t answerBytes = 16; ///< Length of its answer.
};

/** Writes a payload. */
std::string payloadOf(const Task &task);

/** Reads a payload. */
Task taskOf(const std::string &payload);

/** The whole answer that a task gives, wherever it runs. */
std::string wholeAnswerOf(const std::string &payload, std::uint32_t ordinal);

/** One worker. */
class FakeWorker
{
public:
    using Reply = std::function<void(const WorkerReport &)>;

    FakeWorker(EventQueue &queue, Journal &journal, std::size_t index, HostRow row, Resources total);

    /** Takes an exchange; the reply is called once, unless the worker dies. */
    void sync(const WorkerSync &sync, Reply reply);

    /** All attempts die; the next boot knows nothing of them. */
    void kill();

    /** Starts again after kill(). */
    void boot();

    /** While paused the whole host stands still with its tasks; what its lease has left by then never runs again. */
    void setPaused(bool paused);

    /** Ends what runs, as a fault of the task would. */
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

    Milliseconds leavingSince = notYet; ///< Marked as leaving on the platform's list since then.
    bool failsAll = false; ///< Fails everything it starts.
    Milliseconds clockOffset{0}; ///< Of its own clock.

private:
    struct Active {
        std::size_t run = 0; ///< Place in the journal.
        WorkerTime leaseUntil{};
        Milliseconds endsAt{0};
    };
    struct Poll {
        std::uint64_t number = 0;
        Reply reply;
    };

    WorkerTime clock() const;
    void takeOrders(const WorkerSync &sync);
    void start(const StartOrder &order);
    void expire();
    void end(AttemptNumber attempt, Outcome outcome);
    void report(AttemptNumber attempt, Outcome outcome, TaskResult result);
    void schedule(AttemptNumber attempt);
    void checkAttempt(AttemptNumber attempt, std::uint64_t boot);
    void answerPolls();
    WorkerReport makeReport() const;

    EventQueue &m_queue;
    Journal &m_journal;
    std::size_t m_index;
    HostRow m_row;
    Resources m_total;
    std::uint64_t m_bootId;
    bool m_up = true;
    bool m_paused = false;
    std::set<AttemptNumber> m_taken;
    std::map<AttemptNumber, Active> m_active;
    std::deque<ReportedEnd> m_ends;
    std::uint64_t m_lastReport = 0;
    std::uint64_t m_nextPoll = 0;
    std::vector<Poll> m_polls;
    std::vector<std::pair<WorkerSync, Reply>> m_held; ///< Exchanges that arrived while paused.
};

} // namespace flamingotally::fakes
