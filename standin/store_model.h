/** @file store_model.h Model of the platform's store: keyed topics, writers with epochs, and history. */
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

/** Writer of an append, and the position of the append in the sequence of that writer. */
struct ModelWriter {
    std::string producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/** Result of an append. */
struct ModelAppendResult {
    bool stored = false; ///< False when the append was refused as fenced or out of sequence.
    std::uint64_t offset = 0; ///< Offset of the first record of the append.
};

/** A keyed topic with a single partition. */
class TopicModel
{
public:
    /**
     * Appends records atomically. A repeat of the last append of the same epoch and sequence gets the first result
     * again and stores nothing.
     */
    ModelAppendResult append(const ModelWriter &writer, const std::vector<ModelRecord> &records);

    /** Returns the records from an offset on, or nothing when that offset is no longer retained. */
    std::optional<std::vector<ModelRecord>> read(std::uint64_t from) const;

    /** Returns the newest record of every key, sorted by key. */
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
        std::uint64_t last = 0; ///< Sequence number.
        std::uint64_t offset = 0; ///< Offset of its first record.
    };

    std::uint64_t m_first = 0;
    std::uint64_t m_end = 0;
    std::vector<ModelRecord> m_history;
    std::map<std::string, ModelRecord> m_newest;
    std::map<std::string, Sequence> m_sequences;
};

} // namespace flamingotally::standin
