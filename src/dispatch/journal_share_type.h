/**
 * @file journal_share_type.h Messages by which daemons of a region that is far from the store read the journal from one
 * of them, the region's reader.
 */
#pragma once

#include "dispatch/journal_type.h"

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace flamingotally::dispatch
{

/** Request of a daemon to read the journal from the region's reader. */
struct PeerReadRequest {
    std::string daemon; ///< Name of the daemon that asks; its newer requests end older ones.
    std::uint64_t from = 0; ///< Offset of the first record.
    Milliseconds wait{0}; ///< How long the request may wait for records; zero asks for a view as of its arrival.
    bool isSnapshot = false; ///< Asks for the newest record of every key; `from` is ignored.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(daemon, from, wait, isSnapshot);
    }
};

/** A request of another daemon that has arrived. */
struct PeerRead {
    std::uint64_t handle = 0; ///< Matches the response to the request within the process.
    MonotonicTime arrivedAt{};
    PeerReadRequest request;
};

/** Response to a daemon that reads the journal from this one. */
struct PeerReadResponse {
    std::uint64_t handle = 0; ///< Handle of the request; not sent.
    ShareResult result = ShareResult::NotHeld;
    Milliseconds age{0}; ///< Age of this daemon's view when the response was made.
    Milliseconds held{0}; ///< Time from the arrival of the request until the response was made.
    bool isCurrent = false; ///< No records are known to be missing that were stored before the request arrived.
    bool complete = true; ///< The records reach the end of this daemon's view.
    std::uint64_t nextOffset = 0; ///< Offset at which the next read begins.
    std::vector<StoredRecord> records; ///< With ShareResult::Records.
    std::vector<std::string> frames; ///< With ShareResult::Snapshot: compressed parts of the snapshot.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(result, age, held, isCurrent, complete, nextOffset, records, frames);
    }
};

/** The raw records that the region's reader read last, without gaps, up to a total size. */
class JournalRing
{
public:
    /** Begins anew, without records. @param end Offset of the first record that will be added. */
    void start(std::uint64_t end)
    {
        m_records.clear();
        m_bytes = 0;
        m_end = end;
        m_isActive = true;
    }

    /** Drops all records. */
    void stop()
    {
        m_records = {};
        m_bytes = 0;
        m_isActive = false;
    }

    /** Adds a record. One that was added before is ignored; records before a gap are dropped. */
    void add(StoredRecord record)
    {
        if (record.offset < m_end) {
            return;
        }
        if (record.offset > m_end) {
            start(record.offset);
        }
        ++m_end;
        m_bytes += sizeOf(record);
        m_records.push_back(std::move(record));
        while (m_bytes > maxBytes) {
            m_bytes -= sizeOf(m_records.front());
            m_records.pop_front();
        }
    }

    /** Returns true if no record from an offset on is missing; also for offsets that are not read yet. */
    bool holds(std::uint64_t from) const
    {
        return m_isActive && from + m_records.size() >= m_end;
    }

    /** Returns the offset after the newest record. */
    std::uint64_t end() const
    {
        return m_end;
    }

    bool isActive() const
    {
        return m_isActive;
    }

    /** Copies records from an offset on that is held, until a size is reached; at least one if there is any. */
    std::vector<StoredRecord> recordsFrom(std::uint64_t from, std::size_t size) const
    {
        std::vector<StoredRecord> out;
        std::size_t bytes = 0;
        const auto first = m_end - m_records.size();
        for (auto n = from; n < m_end && bytes < size; ++n) {
            out.push_back(m_records[n - first]);
            bytes += sizeOf(out.back());
        }
        return out;
    }

    /** Returns the size of all records in bytes. */
    std::size_t bytes() const
    {
        return m_bytes;
    }

    static constexpr std::size_t maxBytes = std::size_t{1024} * 1024; ///< Some seconds of a burst; hosts are small.

private:
    /** Returns the memory that a record takes, with a rough part for its object. */
    static std::size_t sizeOf(const StoredRecord &record)
    {
        return sizeof(StoredRecord) + record.key.size() + record.value.size();
    }

    std::deque<StoredRecord> m_records;
    std::size_t m_bytes = 0;
    std::uint64_t m_end = 0;
    bool m_isActive = false;
};

/** What this daemon keeps for daemons that read the journal from it. */
struct SharedJournal {
    JournalRing ring;
    std::vector<PeerRead> waiting; ///< Requests that have not been answered.
    MonotonicTime snapshotSentAt{}; ///< When the last snapshot was sent.
};

} // namespace flamingotally::dispatch
