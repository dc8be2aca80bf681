/** @file store_model.h Model of the platform's store: keyed topics with a history, written by writers with epochs. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingotally::standin
{

/** A record of a topic. */
struct ModelRecord {
    std::uint64_t offset = 0;
    std::string key;
    std::string value; ///< Empty when the record deletes the key.
};

/** Identifies an append: its writer, the epoch of the writer, and the number of the append in that epoch. */
struct ModelWriter {
    std::string producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/** Result of an append. */
struct ModelAppendResult {
    bool stored = false; ///< False when the append was refused because it was fenced or out of sequence.
    std::uint64_t offset = 0; ///< Offset of the first record of the append.
};

/** A keyed topic with a single partition. */
class TopicModel
{
public:
    /**
     * Appends records atomically. When the writer repeats its last append (same epoch and sequence number), nothing is
     * stored and the first result is returned again. An append of an older epoch is refused, and so is one of the same
     * epoch that does not have the next sequence number.
     */
    ModelAppendResult append(const ModelWriter &writer, const std::vector<ModelRecord> &records);

    /** Returns the records from an offset on, or nothing when the history no longer reaches back to the offset. */
    std::optional<std::vector<ModelRecord>> read(std::uint64_t from) const;

    /** Returns the newest record of every key that is not deleted, sorted by key. */
    std::vector<ModelRecord> newest() const;

    /** Drops the history; the newest record of every key stays. */
    void compact();

    /** Returns the offset of the next record. */
    std::uint64_t end() const
    {
        return m_end;
    }

    /** Returns the oldest offset that read() accepts. */
    std::uint64_t first() const
    {
        return m_first;
    }

private:
    /** Last append of a writer. */
    struct Sequence {
        std::uint64_t epoch = 0;
        std::uint64_t last = 0; ///< Sequence number of the append.
        std::uint64_t offset = 0; ///< Offset of the first record of the append.
    };

    std::uint64_t m_first = 0;
    std::uint64_t m_end = 0;
    std::vector<ModelRecord> m_history;
    std::map<std::string, ModelRecord> m_newest;
    std::map<std::string, Sequence> m_sequences;
};

} // namespace flamingotally::standin
