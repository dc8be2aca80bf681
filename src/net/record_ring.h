/** @file record_ring.h Cache of the newest raw log records, for peers that cannot read the log. */
#pragma once

#include "codec/log_codec.h"

#include <deque>

namespace flamingotally
{

/** Retains the newest records without gaps, up to a total size; at least the last record is retained. */
class RecordRing
{
public:
    explicit RecordRing(std::size_t maxBytes) : m_maxBytes(maxBytes)
    {
    }

    /**
     * Adds a record. A record that is not newer than the newest one is ignored. If offsets are missing between the
     * newest record and the added one, all earlier records are dropped.
     */
    void add(const RawRecord &record);

    /**
     * Copies records from an offset on.
     * @param from First offset.
     * @param maxBytes Size limit; no record is copied after the limit was reached, so the last record may exceed
     * the limit, and the first record is copied in any case.
     * @return The records; none if the record at `from` is not retained.
     */
    LogPage pageFrom(std::uint64_t from, std::size_t maxBytes) const;

private:
    /** Returns the offset after the newest record; 0 while the ring is empty. */
    std::uint64_t end() const;

    std::deque<RawRecord> m_records;
    std::size_t m_bytes = 0;
    std::size_t m_maxBytes;
};

} // namespace flamingotally
