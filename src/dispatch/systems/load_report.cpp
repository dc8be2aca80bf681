#include "dispatch/entry_func.h"
#include "dispatch/opening_func.h"
#include "dispatch/policy/order_pacing.h"
#include "dispatch/region_link.h"
#include "dispatch/systems/systems.h"
#include "dispatch/table/dispatch_table.h"
#include "dispatch/team_use_func.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace flamingotally::dispatch
{

namespace
{

constexpr Milliseconds ownerInterval{1'000}; ///< Between two lines of an owner.
constexpr Milliseconds followerInterval{5'000}; ///< Between two lines of any other daemon.
constexpr std::size_t maxTeamsInLine = 20; ///< Teams with the most use that a line names.

/** What an owner has sent to workers that has not been answered yet. */
struct InFlight {
    std::size_t polls = 0;
    std::size_t orders = 0;
};

/** Counts the polls and orders in flight. */
InFlight countInFlight(const Entry &entry)
{
    InFlight it;
    entry.workers.table.forEach(
        [&](WorkerRef worker) { it.polls += entry.workers.table.get<WorkerLink>(worker).inFlight ? 1 : 0; });
    entry.work.runs.forEach([&](RunRef run) { it.orders += entry.work.runs.get<RunState>(run).inFlight ? 1 : 0; });
    return it;
}

/** Counts the listed workers that get no tasks for a while because of runs or responses of theirs. */
std::size_t countSuspended(const Entry &entry, const TickTime &time)
{
    std::size_t n = 0;
    entry.workers.table.forEach([&](WorkerRef worker) {
        const auto &health = entry.workers.table.get<WorkerHealth>(worker);
        n += health.listed && health.isKeptFromTasks(time.now) ? 1 : 0;
    });
    return n;
}

/** Pacing of the orders to all workers: of the regions, the smallest window and the slowest responses. */
struct PacingSummary {
    std::size_t ordersWaiting = 0;
    std::uint32_t window = order_pacing::maxWindow;
    Milliseconds typicalResponse{0};
    bool isInDoubt = false; ///< This host's link to a region is in doubt.
};

PacingSummary summarizePacing(const Workers &workers, const TickTime &time)
{
    PacingSummary sum;
    for (const auto &it : workers.regions) {
        if (workers.regions.size() > 1 && it.listed == 0) {
            continue;
        }
        sum.ordersWaiting += it.pacing.ordersWaiting;
        sum.window = std::min(sum.window, it.pacing.window);
        sum.typicalResponse = std::max(sum.typicalResponse, typicalResponse(it.pacing));
        sum.isInDoubt = sum.isInDoubt || isInDoubt(workers, it, time.now);
    }
    return sum;
}

/** Returns waiting orders/window/typical response/doubt of each region; empty if there is one. */
std::string describeRegions(const Workers &workers, const TickTime &time)
{
    std::string text;
    for (std::size_t n = 1; n < workers.regions.size(); ++n) {
        const auto &it = workers.regions[n];
        fmt::format_to(std::back_inserter(text),
                       " orders_to_{}={}/{}/{}/{}",
                       it.name,
                       it.pacing.ordersWaiting,
                       it.pacing.window,
                       typicalResponse(it.pacing).count(),
                       isInDoubt(workers, it, time.now));
    }
    return text;
}

/** Returns team:present/past, in cores, of the teams that have used most, separated by commas. */
std::string describeTeams(const Entry &entry)
{
    std::string text;
    for (const auto &it : busiestTeams(entry, maxTeamsInLine)) {
        fmt::format_to(std::back_inserter(text),
                       "{}{}:{:.1f}/{:.1f}",
                       text.empty() ? "" : ",",
                       it.team,
                       it.use.present,
                       it.use.past);
    }
    return text;
}

/** Returns the part of the line that only an owner has. */
std::string describeOwner(const Entry &entry, const TickTime &time)
{
    const auto &workers = entry.workers;
    const auto it = countInFlight(entry);
    const auto pacing = summarizePacing(workers, time);
    const auto groupsWaiting = [&entry](Timeliness timeliness) {
        return entry.work.pass.groupsWaiting[static_cast<std::size_t>(timeliness)];
    };
    return fmt::format(" token={} workers={} silent={} suspended={} polls_in_flight={} orders_in_flight={} "
                       "orders_waiting={} order_window={} typical_response_ms={} link_in_doubt={} "
                       "groups_waiting={} in_time={} late={} too_late={} gangs={} workers_for_gangs={} "
                       "runs={} open_tasks={} open_row_bytes={} jobs_held={} "
                       "workers_for_large={} stalled_reservations={} queued_records={} advice_in_flight={} "
                       "workers_evaluated={} team_cores={}{}",
                       entry.ownership.token,
                       workers.silence.listed,
                       workers.silence.silent,
                       countSuspended(entry, time),
                       it.polls,
                       it.orders,
                       pacing.ordersWaiting,
                       pacing.window,
                       pacing.typicalResponse.count(),
                       pacing.isInDoubt,
                       entry.work.waitingGroups.size(),
                       groupsWaiting(Timeliness::InTime),
                       groupsWaiting(Timeliness::Late),
                       groupsWaiting(Timeliness::TooLate),
                       entry.work.pass.gangsWaiting,
                       entry.work.pass.reservedForGangs,
                       entry.work.runs.size(),
                       entry.work.tasks.size(),
                       openRowBytes(entry),
                       heldJobs(entry),
                       entry.work.pass.largeReservations,
                       entry.work.pass.stalledReservations,
                       entry.writers[static_cast<std::size_t>(JournalWriter::Owner)].queue.size(),
                       entry.advice.pending.size(),
                       entry.counters.workersEvaluated - entry.loadReport.workersEvaluated,
                       describeTeams(entry),
                       describeRegions(workers, time));
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
        logEvent(
            entry,
            EventKind::Load,
            0,
            "owner={} journal_age_ms={} calls_open={} ticks={} tick_time_ms={} longest_tick_ms={} tick_delay_ms={} "
            "worker_connections={} other_connections={} calls_waiting={}{}{}",
            entry.isOwner(),
            (time.now - entry.journal.asOf).count(),
            entry.calls.size(),
            entry.counters.ticks - report.ticks,
            report.tickTime.count(),
            report.longestTick.count(),
            entry.ownership.tickDelay.count(),
            entry.connections.toWorkers,
            entry.connections.toOthers,
            entry.connections.waitingCalls,
            entry.isOwner() ? describeOwner(entry, time) : std::string(),
            describeTraffic(entry));
    }
    report = {};
    report.dueAt = time.now + interval;
    report.traffic = entry.counters.traffic;
    report.workersEvaluated = entry.counters.workersEvaluated;
    report.ticks = entry.counters.ticks;
}

} // namespace flamingotally::dispatch
