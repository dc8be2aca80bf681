#include "net/record_ring.h"

namespace flamingotally
{

std::uint64_t RecordRing::end() const
{
    return m_records.empty() ? 0 : m_records.back().offset + 1;
}

void RecordRing::add(const RawRecord &record)
{
    if (record.offset < end()) {
        return;
    }
    if (record.offset > end()) {
        m_records.clear();
        m_bytes = 0;
    }
    m_records.push_back(record);
    m_bytes += record.bytes.size();
    while (m_bytes > m_maxBytes && m_records.size() > 1) {
        m_bytes -= m_records.front().bytes.size();
        m_records.pop_front();
    }
}

LogPage RecordRing::pageFrom(std::uint64_t from, std::size_t maxBytes) const
{
    LogPage page;
    page.head = end();
    page.firstRetained = m_records.empty() ? 0 : m_records.front().offset;
    std::size_t bytes = 0;
    for (auto n = from; n >= page.firstRetained && n < page.head && bytes < maxBytes; ++n) {
        page.records.push_back(m_records[n - page.firstRetained]);
        bytes += page.records.back().bytes.size();
    }
    return page;
}

} // namespace flamingotally
