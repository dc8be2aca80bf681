#include "dispatch/entry_func.h"
#include "dispatch/systems/systems.h"
#include "table/http_limit_table.h"

#include <fmt/format.h>

#include <iterator>

namespace flamingotally::dispatch
{

namespace
{

constexpr Milliseconds lineInterval{1'000}; ///< Between two lines, however many callers exceed the limits.

/** Returns closed connections/refused requests since the last line for each limit that was reached. */
std::string describeLimits(const HttpLimitCounts &now, const HttpLimitCounts &then)
{
    std::string text;
    for (const auto &row : httpLimitTable) {
        const auto n = static_cast<std::size_t>(row.value);
        if (now[n] != then[n]) {
            fmt::format_to(std::back_inserter(text),
                           "{}{}={}/{}",
                           text.empty() ? "" : " ",
                           row.name,
                           now[n].closed - then[n].closed,
                           now[n].refused - then[n].refused);
        }
    }
    return text;
}

} // namespace

void callerLimitSystem(Entry &entry, const TickTime &time)
{
    auto &report = entry.limitReport;
    if (entry.counters.httpLimits == report.counts) {
        return;
    }
    if (time.now < report.dueAt) {
        entry.wakeBy(report.dueAt);
        return;
    }
    logEvent(entry, EventKind::CallersLimited, 0, "{}", describeLimits(entry.counters.httpLimits, report.counts));
    report = {time.now + lineInterval, entry.counters.httpLimits};
}

} // namespace flamingotally::dispatch
