/** @file fake_log.h The platform's log: offsets, stamps, retention, long polls, and the ways it can fail. */
#pragma once

#include "fakes/event_queue.h"
#include "message_type.h"

#include <deque>
#include <list>

namespace flamingotally::fakes
{

/** How the log answers at the moment. */
enum class LogMode : std::uint8_t {
    Up,
    Silent, ///< Takes connections and never answers.
    Refusing, ///< Answers at once that it takes nothing and gives nothing.
    End,
};

/** Switches of the log. */
struct LogFaults {
    LogMode mode = LogMode::Up;
    Milliseconds appendLatency{2}; ///< Before an append takes effect.
    double answerLoss = 0; ///< Share of appends whose answer is lost after they took effect.
    double refusal = 0; ///< Share of appends that are refused.
    Milliseconds retention{1'800'000}; ///< Older records are dropped.
    bool encode = false; ///< Pass each batch through the codec.
};

/** The log itself. Delays of the network are the world's. */
class FakeLog
{
public:
    using ReadReply = std::function<void(const LogRead &)>;

    explicit FakeLog(EventQueue &queue) : m_queue(queue)
    {
    }

    /** Takes a record and wakes the reads that wait for it. */
    void store(const Batch &batch);

    /**
     * Reads from an offset on; without records the answer waits for one.
     * @param offset First offset.
     * @param wait Longest wait.
     * @param reply Called once.
     */
    void read(std::uint64_t offset, Milliseconds wait, ReadReply reply);

    /** Records from an offset up to a bound, as a peer that keeps them would give them. */
    LogRead copy(std::uint64_t offset, std::uint64_t end) const;

    std::uint64_t head() const
    {
        return m_firstKept + m_entries.size();
    }

    /** Answers all waiting reads as failed. Used when the log goes down. */
    void failWaitingReads();

    LogFaults faults;

private:
    struct WaitingRead {
        std::uint64_t offset;
        std::uint64_t number;
        ReadReply reply;
    };

    void dropOld();

    EventQueue &m_queue;
    std::deque<LogEntry> m_entries;
    std::uint64_t m_firstKept = 0;
    std::uint64_t m_nextRead = 0;
    std::list<WaitingRead> m_waiting;
};

} // namespace flamingotally::fakes
