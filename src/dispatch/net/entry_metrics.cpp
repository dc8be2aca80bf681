#include "dispatch/net/entry_metrics.h"

#include "dispatch/table/dispatch_table.h"
#include "dispatch/table/entry_metric_table.h"
#include "dispatch/team_use_func.h"
#include "table/http_limit_table.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace flamingotally
{

using namespace dispatch;

namespace
{

constexpr double millisecondsPerSecond = 1'000;
constexpr std::size_t maxTeamLabels = 50; ///< Teams with the most use that get a label.

void addCounter(prometheus::Registry &registry, const CounterRow &row, const Entry &entry)
{
    auto &family = prometheus::BuildCounter().Name(row.name).Help(row.help).Register(registry);
    family.Add({}).Increment(static_cast<double>(row.value(entry)));
}

void addGauge(prometheus::Registry &registry, const char *name, const char *help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
}

/** Adds the counter of ended runs, labelled by how they ended. */
void addEnds(prometheus::Registry &registry, const Entry &entry)
{
    auto &family = prometheus::BuildCounter()
                       .Name("flamingotally_ended_runs_total")
                       .Help("Ended runs, by how they ended.")
                       .Register(registry);
    for (const auto &row : runEndTable) {
        const auto n = entry.counters.ends[static_cast<std::size_t>(row.value)];
        family.Add({{"how", std::string(row.name)}}).Increment(static_cast<double>(n));
    }
}

/** Adds the counter of rejected start orders, labelled by reason. */
void addRejections(prometheus::Registry &registry, const Entry &entry)
{
    auto &family = prometheus::BuildCounter()
                       .Name("flamingotally_rejected_starts_total")
                       .Help("Start orders that workers rejected, by reason.")
                       .Register(registry);
    for (const auto &row : orderResultTable) {
        const auto n = entry.counters.rejectedStarts[static_cast<std::size_t>(row.value)];
        family.Add({{"reason", std::string(row.name)}}).Increment(static_cast<double>(n));
    }
}

/** Adds the counters of reads and loads of the journal, labelled by source. */
void addJournalReads(prometheus::Registry &registry, const Entry &entry)
{
    auto &reads = prometheus::BuildCounter()
                      .Name("flamingotally_journal_reads_total")
                      .Help("Successful reads of the journal, by source.")
                      .Register(registry);
    auto &loads = prometheus::BuildCounter()
                      .Name("flamingotally_journal_loads_total")
                      .Help("Loads of the whole journal, by source.")
                      .Register(registry);
    for (const auto &row : journalSourceTable) {
        const auto n = static_cast<std::size_t>(row.value);
        const std::string name(row.name);
        reads.Add({{"source", name}}).Increment(static_cast<double>(entry.counters.journalReads[n]));
        loads.Add({{"source", name}}).Increment(static_cast<double>(entry.counters.journalLoads[n]));
    }
}

/** Adds the counters of connections and requests that reached a limit of the servers, labelled by the limit. */
void addHttpLimits(prometheus::Registry &registry, const Entry &entry)
{
    auto &closed = prometheus::BuildCounter()
                       .Name("flamingotally_closed_connections_total")
                       .Help("Connections of callers that were closed because of a limit, by cause.")
                       .Register(registry);
    auto &refused = prometheus::BuildCounter()
                        .Name("flamingotally_refused_requests_total")
                        .Help("Requests that were refused because of a limit, before any of them was run, by cause.")
                        .Register(registry);
    for (const auto &row : httpLimitTable) {
        const auto &count = entry.counters.httpLimits[static_cast<std::size_t>(row.value)];
        closed.Add({{"cause", std::string(row.name)}}).Increment(static_cast<double>(count.closed));
        refused.Add({{"cause", std::string(row.name)}}).Increment(static_cast<double>(count.refused));
    }
}

/** Adds the counter of the calls of other daemons that this owner answered, labelled by outcome. */
void addCommits(prometheus::Registry &registry, const Entry &entry)
{
    auto &family = prometheus::BuildCounter()
                       .Name("flamingotally_commit_answers_total")
                       .Help("Answers to other daemons that sent their batches to this owner, by outcome.")
                       .Register(registry);
    for (const auto &row : commitOutcomeTable) {
        const auto n = entry.counters.commitAnswers[static_cast<std::size_t>(row.value)];
        family.Add({{"outcome", std::string(row.name)}}).Increment(static_cast<double>(n));
    }
}

/** Adds the counter of calls that were answered as not run, labelled by reason. */
void addRefusals(prometheus::Registry &registry, const Entry &entry)
{
    auto &family = prometheus::BuildCounter()
                       .Name("flamingotally_refused_calls_total")
                       .Help("Calls that were answered as not run, by reason.")
                       .Register(registry);
    for (const auto &row : refusalReasonTable) {
        const auto n = entry.counters.refusals[static_cast<std::size_t>(row.value)];
        family.Add({{"reason", std::string(row.name)}}).Increment(static_cast<double>(n));
    }
}

/** Adds the counters of calls and bytes to and from others, labelled by kind. */
void addTraffic(prometheus::Registry &registry, const Entry &entry)
{
    auto &calls = prometheus::BuildCounter()
                      .Name("flamingotally_peer_calls_total")
                      .Help("Calls to the store, workers and other daemons, by kind and by whether they were answered.")
                      .Register(registry);
    auto &bytes = prometheus::BuildCounter()
                      .Name("flamingotally_peer_bytes_total")
                      .Help("Bytes of the messages of these calls, by kind and direction.")
                      .Register(registry);
    for (const auto &row : trafficKindTable) {
        const auto &it = entry.counters.traffic[static_cast<std::size_t>(row.value)];
        const std::string name(row.name);
        calls.Add({{"kind", name}, {"answered", "no"}}).Increment(static_cast<double>(it.failures));
        calls.Add({{"kind", name}, {"answered", "yes"}}).Increment(static_cast<double>(it.calls - it.failures));
        bytes.Add({{"kind", name}, {"direction", "sent"}}).Increment(static_cast<double>(it.sentBytes));
        bytes.Add({{"kind", name}, {"direction", "received"}}).Increment(static_cast<double>(it.receivedBytes));
    }
}

/** Adds the gauges of the orders to workers, labelled by region; that of a single region is empty. */
void addPacing(prometheus::Registry &registry, const Entry &entry)
{
    auto &waiting = prometheus::BuildGauge()
                        .Name("flamingotally_waiting_orders")
                        .Help("Due orders that exceeded the window of orders in flight, by region of the workers.")
                        .Register(registry);
    auto &windows = prometheus::BuildGauge()
                        .Name("flamingotally_order_window")
                        .Help("Orders that may be in flight, by region of the workers.")
                        .Register(registry);
    for (const auto &it : entry.workers.regions) {
        waiting.Add({{"region", it.name}}).Set(static_cast<double>(it.pacing.ordersWaiting));
        windows.Add({{"region", it.name}}).Set(it.pacing.window);
    }
}

/** Adds the latency histogram, labelled by kind of operation. */
void addLatencies(prometheus::Registry &registry, const Entry &entry)
{
    auto &family = prometheus::BuildHistogram()
                       .Name("flamingotally_latency_seconds")
                       .Help("Durations of operations, by kind.")
                       .Register(registry);
    std::vector<double> bounds;
    bounds.reserve(latencyBounds.size());
    for (const auto bound : latencyBounds) {
        bounds.push_back(static_cast<double>(bound.count()) / millisecondsPerSecond);
    }
    for (const auto &row : latencyKindTable) {
        const auto &latency = entry.counters.latencies[static_cast<std::size_t>(row.value)];
        auto &histogram = family.Add({{"step", std::string(row.name)}}, bounds);
        const std::vector<double> counts(latency.counts.begin(), latency.counts.end());
        histogram.ObserveMultiple(counts, static_cast<double>(latency.sum.count()) / millisecondsPerSecond);
    }
}

/** A gauge that is labelled by team. */
struct TeamGaugeRow {
    const char *name;
    const char *help; ///< Description of the metric, in one sentence.
    double UseInCores::*value;
};

constexpr std::array teamGaugeTable = {
    TeamGaugeRow{"flamingotally_team_present_cores",
                 "Cores that the runs of a team use, of the teams with the most use; an accelerator counts as 8.",
                 &UseInCores::present},
    TeamGaugeRow{"flamingotally_team_past_cores",
                 "Decaying average of the cores that a team used, of the teams with the most use.",
                 &UseInCores::past},
};

/** Adds the present and past use of teams; there is none unless this daemon is the owner. */
void addTeamUse(prometheus::Registry &registry, const Entry &entry)
{
    const auto teams = busiestTeams(entry, maxTeamLabels);
    for (const auto &row : teamGaugeTable) {
        auto &family = prometheus::BuildGauge().Name(row.name).Help(row.help).Register(registry);
        for (const auto &it : teams) {
            family.Add({{"team", it.team}}).Set(it.use.*row.value);
        }
    }
}

double secondsSince(MonotonicTime at, MonotonicTime now)
{
    return static_cast<double>((now - at).count()) / millisecondsPerSecond;
}

} // namespace

std::string writeEntryMetrics(const Entry &entry, MonotonicTime now)
{
    prometheus::Registry registry;
    for (const auto &row : counterTable) {
        addCounter(registry, row, entry);
    }
    addEnds(registry, entry);
    addRejections(registry, entry);
    addCommits(registry, entry);
    addRefusals(registry, entry);
    addLatencies(registry, entry);
    addTraffic(registry, entry);
    addPacing(registry, entry);
    addJournalReads(registry, entry);
    addHttpLimits(registry, entry);
    addTeamUse(registry, entry);
    for (const auto &row : gaugeTable) {
        addGauge(registry, row.name, row.help, static_cast<double>(row.value(entry)));
    }
    addGauge(registry,
             "flamingotally_config_age_seconds",
             "Age of this daemon's view of the configuration.",
             secondsSince(entry.config.asOf, now));
    addGauge(registry,
             "flamingotally_journal_age_seconds",
             "Age of this daemon's view of the journal.",
             secondsSince(entry.journal.asOf, now));
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace flamingotally
