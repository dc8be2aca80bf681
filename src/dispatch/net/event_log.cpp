#include "dispatch/net/event_log.h"

#include "net/clock.h"
#include "net/event_line.h"

#include <fmt/format.h>

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace flamingotally
{

using namespace dispatch;

EventLog::EventLog(std::string name, LogLevel minLevel) : m_name(std::move(name)), m_minLevel(minLevel)
{
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void EventLog::write(const Event &event, std::uint64_t &dropped)
{
    const auto &row = rowOf(eventKindTable, event.kind);
    if (row.level < m_minLevel) {
        return;
    }
    auto fields = event.job != 0 ? fmt::format("job={:016x}", event.job) : std::string();
    if (!fields.empty() && !event.fields.empty()) {
        fields += ' ';
    }
    fields += event.fields;
    const auto line = formatEventLine(SystemClock().wallNow(), {row.level, m_name, row.name, fields});
    if (m_buf.size() + line.size() > (row.isFrequent ? maxBytesForFrequent : maxBytes)) {
        ++dropped;
        return;
    }
    m_buf += line;
}

void EventLog::flush()
{
    std::size_t written = 0;
    while (written < m_buf.size()) {
        const auto n = ::write(STDOUT_FILENO, m_buf.data() + written, m_buf.size() - written);
        if (n <= 0) {
            break;
        }
        written += static_cast<std::size_t>(n);
    }
    m_buf.erase(0, written);
}

} // namespace flamingotally
