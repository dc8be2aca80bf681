#include "dispatch/entry_func.h"
#include "dispatch/systems/systems.h"
#include "dispatch/table/dispatch_table.h"

#include <fmt/format.h>

#include <iterator>

namespace flamingotally::dispatch
{

namespace
{

constexpr Milliseconds ownerInterval{1'000}; ///< Between two lines of an owner.
constexpr Milliseconds followerInterval{5'000}; ///< Between two lines of any other daemon.

/** How the owner's workers and runs are. */
struct WorkerSummary {
    std::size_t listed = 0;
    std::size_t silent = 0; ///< Workers whose last poll got no response.
    std::size_t pollsInFlight = 0;
    std::size_t ordersInFlight = 0;
    std::size_t ordersWaiting = 0; ///< Runs that have been stored or must stop, and whose order has not been sent.
};

WorkerSummary summarize(const Entry &entry)
{
    WorkerSummary it;
    entry.workers.table.forEach([&](WorkerRef worker) {
        const auto &link = entry.workers.table.get<WorkerLink>(worker);
        it.listed += entry.workers.table.get<WorkerHealth>(worker).listed ? 1 : 0;
        it.silent += link.missedPolls > 0 ? 1 : 0;
        it.pollsInFlight += link.inFlight ? 1 : 0;
    });
    entry.work.runs.forEach([&](RunRef run) {
        const auto &state = entry.work.runs.get<RunState>(run);
        const bool needsOrder =
            state.phase == RunPhase::Ordered || (state.phase == RunPhase::Stopping && !state.stopAccepted);
        it.ordersInFlight += state.inFlight ? 1 : 0;
        it.ordersWaiting += needsOrder && !state.inFlight ? 1 : 0;
    });
    return it;
}

/** Returns the part of the line that only an owner has. */
std::string describeOwner(const Entry &entry)
{
    const auto it = summarize(entry);
    return fmt::format(" token={} workers={} silent={} polls_in_flight={} orders_in_flight={} orders_waiting={} "
                       "groups_waiting={} runs={} queued_records={} advice_in_flight={}",
                       entry.ownership.token,
                       it.listed,
                       it.silent,
                       it.pollsInFlight,
                       it.ordersInFlight,
                       it.ordersWaiting,
                       entry.work.waiting.size(),
                       entry.work.runs.size(),
                       entry.writers[static_cast<std::size_t>(JournalWriter::Owner)].queue.size(),
                       entry.advice.pending.size());
}

/** Returns calls/failed/sent bytes/received bytes of each kind of traffic since the last line. */
std::string describeTraffic(const Entry &entry)
{
    std::string text;
    for (const auto &row : trafficKindTable) {
        const auto n = static_cast<std::size_t>(row.value);
        const auto &now = entry.counters.traffic[n];
        const auto &then = entry.loadReport.traffic[n];
        fmt::format_to(std::back_inserter(text),
                       " {}={}/{}/{}/{}",
                       row.name,
                       now.calls - then.calls,
                       now.failures - then.failures,
                       now.sentBytes - then.sentBytes,
                       now.receivedBytes - then.receivedBytes);
    }
    return text;
}

} // namespace

void loadReportSystem(Entry &entry, const TickTime &time)
{
    auto &report = entry.loadReport;
    if (time.now < report.dueAt) {
        return;
    }
    const auto interval = entry.isOwner() ? ownerInterval : followerInterval;
    if (report.dueAt != MonotonicTime{}) {
        logEvent(entry,
                 EventKind::Load,
                 0,
                 "owner={} journal_age_ms={} calls_open={} longest_tick_ms={}{}{}",
                 entry.isOwner(),
                 (time.now - entry.journal.asOf).count(),
                 entry.calls.size(),
                 report.longestTick.count(),
                 entry.isOwner() ? describeOwner(entry) : std::string(),
                 describeTraffic(entry));
    }
    report = {time.now + interval, entry.counters.traffic, Milliseconds{0}};
}

} // namespace flamingotally::dispatch
