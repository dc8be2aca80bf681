#include "dispatch/net/entry_metrics.h"

#include "dispatch/table/dispatch_table.h"

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

/** A figure without labels. */
struct FigureRow {
    const char *name;
    const char *help; ///< One sentence.
    std::uint64_t (*value)(const Entry &entry);
};

constexpr std::array counterTable = {
    FigureRow{"flamingotally_ticks_total",
              "Runs of the systems.",
              [](const Entry &it) {
                  return it.counters.ticks;
              }},
    FigureRow{"flamingotally_accepted_jobs_total",
              "Jobs that were stored for their callers.",
              [](const Entry &it) {
                  return it.counters.accepted;
              }},
    FigureRow{"flamingotally_not_run_calls_total",
              "Calls that were answered as not run.",
              [](const Entry &it) {
                  return it.counters.refusals;
              }},
    FigureRow{"flamingotally_undecided_calls_total",
              "Calls whose outcome was not known in time.",
              [](const Entry &it) {
                  return it.counters.undecided;
              }},
    FigureRow{"flamingotally_started_runs_total",
              "Runs that workers took.",
              [](const Entry &it) {
                  return it.counters.starts;
              }},
    FigureRow{"flamingotally_lost_runs_total",
              "Runs whose worker was silent until their lease was over, or had gone.",
              [](const Entry &it) {
                  return it.counters.lostRuns;
              }},
    FigureRow{"flamingotally_unanswered_orders_total",
              "Starts that went without an answer and were repeated.",
              [](const Entry &it) {
                  return it.counters.unansweredOrders;
              }},
    FigureRow{"flamingotally_journal_batches_total",
              "Batches sent to the journal, repeats included.",
              [](const Entry &it) {
                  return it.counters.batches;
              }},
    FigureRow{"flamingotally_advice_questions_total",
              "Questions to the policy service.",
              [](const Entry &it) {
                  return it.counters.questions;
              }},
    FigureRow{"flamingotally_ownership_claims_total",
              "Claims of ownership.",
              [](const Entry &it) {
                  return it.counters.claims;
              }},
    FigureRow{"flamingotally_ownership_losses_total",
              "Times that ownership was lost or given up.",
              [](const Entry &it) {
                  return it.counters.resignations;
              }},
    FigureRow{"flamingotally_dropped_log_lines_total",
              "Lines of the log that found no room.",
              [](const Entry &it) {
                  return it.counters.droppedLines;
              }},
};

void addCounter(prometheus::Registry &registry, const FigureRow &row, const Entry &entry)
{
    auto &family = prometheus::BuildCounter().Name(row.name).Help(row.help).Register(registry);
    family.Add({}).Increment(static_cast<double>(row.value(entry)));
}

void addGauge(prometheus::Registry &registry, const char *name, const char *help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
}

void addEnds(prometheus::Registry &registry, const Entry &entry)
{
    auto &family = prometheus::BuildCounter()
                       .Name("flamingotally_ended_runs_total")
                       .Help("Runs that ended, by how they ended.")
                       .Register(registry);
    for (const auto &row : runEndTable) {
        const auto n = entry.counters.ends[static_cast<std::size_t>(row.value)];
        family.Add({{"how", std::string(row.name)}}).Increment(static_cast<double>(n));
    }
}

void addRejections(prometheus::Registry &registry, const Entry &entry)
{
    auto &family = prometheus::BuildCounter()
                       .Name("flamingotally_rejected_starts_total")
                       .Help("Starts that workers rejected, by reason.")
                       .Register(registry);
    for (const auto &row : orderResultTable) {
        const auto n = entry.counters.rejectedStarts[static_cast<std::size_t>(row.value)];
        family.Add({{"reason", std::string(row.name)}}).Increment(static_cast<double>(n));
    }
}

void addLatencies(prometheus::Registry &registry, const Entry &entry)
{
    auto &family = prometheus::BuildHistogram()
                       .Name("flamingotally_latency_seconds")
                       .Help("How long each kind of step took.")
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
    addLatencies(registry, entry);
    addGauge(registry, "flamingotally_is_owner", "Whether this daemon decides.", entry.isOwner() ? 1 : 0);
    addGauge(registry,
             "flamingotally_config_age_seconds",
             "Age of the view of the configuration.",
             secondsSince(entry.config.asOf, now));
    addGauge(registry,
             "flamingotally_journal_age_seconds",
             "Age of the view of the journal.",
             secondsSince(entry.journal.asOf, now));
    addGauge(registry, "flamingotally_jobs", "Jobs that are known.", static_cast<double>(entry.jobs.table.size()));
    addGauge(registry, "flamingotally_runs", "Runs in hand.", static_cast<double>(entry.work.runs.size()));
    addGauge(registry,
             "flamingotally_waiting_groups",
             "Groups of tasks that wait for room.",
             static_cast<double>(entry.work.waiting.size()));
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace flamingotally
