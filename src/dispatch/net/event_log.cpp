#include "dispatch/net/event_log.h"

#include "net/clock.h"
#include "table/log_table.h"

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
    const auto wallMs = SystemClock().wallNow().time_since_epoch().count();
    const auto level = nameOf(logLevelTable, row.level);
    auto line = fmt::format("time_ms={} level={} daemon={} event={}", wallMs, level, m_name, row.name);
    if (event.job != 0) {
        line += fmt::format(" job={:016x}", event.job);
    }
    if (!event.fields.empty()) {
        line += ' ';
        line += event.fields;
    }
    line += '\n';
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
