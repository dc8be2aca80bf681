#include "fakes/fake_log.h"

#include "codec/cereal_codec.h"

#include <algorithm>
#include <utility>

namespace flamingotally::fakes
{

namespace
{
constexpr std::size_t maxEntriesPerRead = 256;
constexpr Milliseconds epoch{1'796'000'000'000}; ///< Time of the log's clock at the start of the world.
} // namespace

void FakeLog::store(const Batch &batch)
{
    LogEntry entry{head(), LogTime{epoch + m_queue.now()}, batch};
    if (faults.encode) {
        auto decoded = decodeBatch(encodeBatch(batch));
        entry.state = decoded.ok() ? EntryState::Readable : EntryState::Malformed;
        entry.batch = decoded.ok() ? *std::move(decoded) : Batch{};
    }
    m_entries.push_back(std::move(entry));
    dropOld();
    auto waiting = std::exchange(m_waiting, {});
    for (const auto &it : waiting) {
        it.reply(copy(it.offset, head()));
    }
}

void FakeLog::read(std::uint64_t offset, Milliseconds wait, ReadReply reply)
{
    dropOld();
    if (offset < head()) {
        reply(copy(offset, head()));
        return;
    }
    const auto number = m_nextRead++;
    m_waiting.push_back({offset, number, std::move(reply)});
    m_queue.after(wait, [this, number] {
        const auto found =
            std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto &it) { return it.number == number; });
        if (found != m_waiting.end()) {
            const auto expired = *found;
            m_waiting.erase(found);
            expired.reply(copy(expired.offset, head()));
        }
    });
}

LogRead FakeLog::copy(std::uint64_t offset, std::uint64_t end) const
{
    LogRead result;
    result.head = end;
    result.firstRetained = m_firstKept;
    for (auto n = offset; offset >= m_firstKept && n < std::min(end, head()); ++n) {
        if (result.entries.size() == maxEntriesPerRead) {
            break;
        }
        result.entries.push_back(m_entries[n - m_firstKept]);
    }
    return result;
}

void FakeLog::failWaitingReads()
{
    LogRead failed;
    failed.failed = true;
    for (auto waiting = std::exchange(m_waiting, {}); const auto &it : waiting) {
        it.reply(failed);
    }
}

void FakeLog::dropOld()
{
    const LogTime oldest{epoch + m_queue.now() - faults.retention};
    while (!m_entries.empty() && m_entries.front().appendedAt < oldest) {
        m_entries.pop_front();
        ++m_firstKept;
    }
}

} // namespace flamingotally::fakes
