/** @file store_model.h The platform's store as the stand-in plays it: keyed topics, writers with epochs, history. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingotally::standin
{

/** One record. */
struct ModelRecord {
    std::uint64_t offset = 0;
    std::string key;
    std::string value; ///< Empty when it drops the key.
};

/** Who appends, and how the append follows its earlier ones. */
struct ModelWriter {
    std::string producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/** What became of an append. */
struct ModelAppendResult {
    bool stored = false; ///< Refused as fenced or out of sequence otherwise.
    std::uint64_t offset = 0;
};

/** One keyed topic with a single partition. */
class TopicModel
{
public:
    /** Appends records, all or none; a repeat of the last append gets its first answer again. */
    ModelAppendResult append(const ModelWriter &writer, const std::vector<ModelRecord> &records);

    /** Records from an offset on; nothing when the offset is no longer kept. */
    std::optional<std::vector<ModelRecord>> read(std::uint64_t from) const;

    /** Newest record of every key, by key. */
    std::vector<ModelRecord> newest() const;

    /** Drops the history; the newest records stay. */
    void compact();

    std::uint64_t end() const
    {
        return m_end;
    }

    std::uint64_t first() const
    {
        return m_first;
    }

private:
    struct Sequence {
        std::uint64_t epoch = 0;
        std::uint64_t last = 0;
        std::uint64_t offset = 0;
    };

    std::uint64_t m_first = 0;
    std::uint64_t m_end = 0;
    std::vector<ModelRecord> m_history;
    std::map<std::string, ModelRecord> m_newest;
    std::map<std::string, Sequence> m_sequences;
};

} // namespace flamingotally::standin
