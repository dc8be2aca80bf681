/** @file fake_log.h Simulates the platform's log: offsets, time stamps, retention, long polls and faults. */
#pragma once

#include "fakes/event_queue.h"
#include "message_type.h"

#include <deque>
#include <list>

namespace flamingotally::fakes
{

/** Fault mode of the log. */
enum class LogMode : std::uint8_t {
    Up,
    Silent, ///< Accepts connections and never responds.
    Refusing, ///< Refuses all reads and appends at once.
    End,
};

/** Faults and settings of the log. */
struct LogFaults {
    LogMode mode = LogMode::Up;
    Milliseconds appendLatency{2}; ///< Time before an append takes effect.
    double responseLoss = 0; ///< Fraction of appends whose response is lost after they took effect.
    double refusal = 0; ///< Fraction of appends that are refused.
    Milliseconds retention{1'800'000}; ///< Older records are dropped.
    bool encode = false; ///< Whether each batch is encoded and decoded before it is stored.
};

/** The log, with its retention and long polls. DaemonPorts simulates the network and all other faults. */
class FakeLog
{
public:
    using ReadReply = std::function<void(const LogRead &)>;

    explicit FakeLog(EventQueue &queue) : m_queue(queue)
    {
    }

    /** Stores a record and completes the reads that wait for it. */
    void store(const Batch &batch);

    /**
     * Reads records from an offset on. If there are none yet, waits for one.
     * @param offset First offset.
     * @param wait Longest time to wait.
     * @param reply Called once with the result.
     */
    void read(std::uint64_t offset, Milliseconds wait, ReadReply reply);

    /**
     * Returns the retained records from an offset up to but not including an end, as a read of the log or of a peer.
     */
    LogRead copy(std::uint64_t offset, std::uint64_t end) const;

    std::uint64_t head() const
    {
        return m_firstKept + m_entries.size();
    }

    /** Completes all waiting reads as failed. Called when the log goes down. */
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
