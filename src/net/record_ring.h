/** @file record_ring.h Cache of the newest raw log records, for peers that cannot read the log. */
#pragma once

#include "codec/log_codec.h"

#include <deque>

namespace flamingotally
{

/** Retains a contiguous sequence of the newest records, limited by their total size. */
class RecordRing
{
public:
    explicit RecordRing(std::size_t maxBytes) : m_maxBytes(maxBytes)
    {
    }

    /** Adds a record. An offset that is already present is ignored; a gap drops all earlier records. */
    void add(const RawRecord &record);

    /**
     * Copies records from an offset on.
     * @param from First offset.
     * @param maxBytes No further record is added once the size has reached this limit, so the last one may exceed it.
     * @return The records; none if the first one is not retained.
     */
    LogPage pageFrom(std::uint64_t from, std::size_t maxBytes) const;

private:
    /** Returns the offset after the newest record; 0 if there is none. */
    std::uint64_t end() const;

    std::deque<RawRecord> m_records;
    std::size_t m_bytes = 0;
    std::size_t m_maxBytes;
};

} // namespace flamingotally
