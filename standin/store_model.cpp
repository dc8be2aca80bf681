#include "store_model.h"

namespace flamingotally::standin
{

ModelAppendResult TopicModel::append(const ModelWriter &writer, const std::vector<ModelRecord> &records)
{
    auto &sequence = m_sequences[writer.producer];
    const bool isRepeat = writer.epoch == sequence.epoch && writer.sequence == sequence.last;
    if (isRepeat) {
        return {true, sequence.offset};
    }
    const bool isNext = writer.epoch == sequence.epoch && writer.sequence == sequence.last + 1;
    if (writer.epoch <= sequence.epoch && !isNext) {
        return {};
    }
    sequence = {writer.epoch, writer.sequence, m_end};
    for (auto record : records) {
        record.offset = m_end++;
        m_history.push_back(record);
        if (record.value.empty()) {
            m_newest.erase(record.key);
        } else {
            m_newest[record.key] = std::move(record);
        }
    }
    return {true, sequence.offset};
}

std::optional<std::vector<ModelRecord>> TopicModel::read(std::uint64_t from) const
{
    if (from < m_first) {
        return std::nullopt;
    }
    std::vector<ModelRecord> records;
    for (const auto &it : m_history) {
        if (it.offset >= from) {
            records.push_back(it);
        }
    }
    return records;
}

std::vector<ModelRecord> TopicModel::newest() const
{
    std::vector<ModelRecord> records;
    for (const auto &[key, record] : m_newest) {
        records.push_back(record);
    }
    return records;
}

void TopicModel::compact()
{
    m_first = m_end;
    m_history.clear();
}

} // namespace flamingotally::standin
