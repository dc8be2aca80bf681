/** @file record_ring.h The newest records of the log as bytes, for peers that cannot read it. */
#pragma once

#include "codec/log_codec.h"

#include <deque>

namespace flamingotally
{

/** Keeps an unbroken run of the newest records, bounded by their size. */
class RecordRing
{
public:
    explicit RecordRing(std::size_t maxBytes) : m_maxBytes(maxBytes)
    {
    }

    /** Adds a record. One that is there already is passed over; a gap drops all before it. */
    void add(const RawRecord &record);

    /**
     * Copies records from an offset on.
     * @param from The offset.
     * @param maxBytes Bound of their size; the first one is given in any case.
     * @return The records; none when the first is not kept.
     */
    LogPage pageFrom(std::uint64_t from, std::size_t maxBytes) const;

private:
    std::uint64_t end() const;

    std::deque<RawRecord> m_records;
    std::size_t m_bytes = 0;
    std::size_t m_maxBytes;
};

} // namespace flamingotally
