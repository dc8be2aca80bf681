#include "net/metrics.h"

#include "query_func.h"
#include "table/reason_table.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace flamingotally
{

namespace
{

/** A metric without labels. */
struct MetricRow {
    const char *name; ///< Name of the metric, without the prefix.
    const char *help; ///< One sentence.
    double (*value)(const Node &node); ///< Returns the value of the metric.
};

constexpr std::array counterTable = {
    MetricRow{"accepted_total",
              "Requests answered without a refusal.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.accepted);
              }},
    MetricRow{"starts_total",
              "Starts confirmed by workers.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.starts);
              }},
    MetricRow{"appends_total",
              "Batches appended to the log.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.appends);
              }},
    MetricRow{"appended_bytes_total",
              "Bytes appended to the log.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.appendedBytes);
              }},
    MetricRow{"records_applied_total",
              "Log records applied.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.recordsApplied);
              }},
    MetricRow{"ticks_total",
              "Ticks run.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.ticks);
              }},
    MetricRow{"heartbeats_dropped_total",
              "Heartbeats that were malformed or not authentic.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.heartbeatsDropped);
              }},
    MetricRow{"digest_mismatches_total",
              "Digests received from peers that differ from the digest of this daemon at the same offset.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.digestMismatches);
              }},
    MetricRow{"snapshots_loaded_total",
              "Snapshots loaded.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.snapshotsLoaded);
              }},
    MetricRow{"snapshots_written_total",
              "Snapshots written.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.snapshotsWritten);
              }},
    MetricRow{"snapshots_refused_total",
              "Snapshots that were malformed, of a wrong digest or contradicted by peers.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.snapshotsRefused);
              }},
};

constexpr std::array gaugeTable = {
    MetricRow{"offset",
              "Offset of the next record to apply.",
              [](const Node &it) {
                  return static_cast<double>(it.tables.position.nextOffset);
              }},
    MetricRow{"phase",
              "Phase of the daemon: 0 catching up, 1 serving, 2 draining, 3 drained.",
              [](const Node &it) {
                  return static_cast<double>(it.phase);
              }},
    MetricRow{"jobs",
              "Jobs in the tables, ended ones included.",
              [](const Node &it) {
                  return static_cast<double>(it.tables.jobs.size());
              }},
    MetricRow{"tasks",
              "Tasks in the tables, ended ones included.",
              [](const Node &it) {
                  return static_cast<double>(it.tables.tasks.size());
              }},
    MetricRow{"attempts",
              "Live attempts.",
              [](const Node &it) {
                  return static_cast<double>(it.tables.attempts.size());
              }},
    MetricRow{"workers",
              "Workers in the tables.",
              [](const Node &it) {
                  return static_cast<double>(it.tables.workers.size());
              }},
    MetricRow{"proposals",
              "Commands proposed and not yet read back from the log.",
              [](const Node &it) {
                  return static_cast<double>(it.proposals.size());
              }},
    MetricRow{"waiters",
              "Callers that wait for a response or for the end of a job.",
              [](const Node &it) {
                  return static_cast<double>(it.waiters.size());
              }},
    MetricRow{"snapshot_bytes",
              "Size of the last snapshot written, in bytes.",
              [](const Node &it) {
                  return static_cast<double>(it.snapshot.bytes);
              }},
};

std::string prefixed(const char *name)
{
    return std::string("flamingotally_") + name;
}

void addGauge(prometheus::Registry &registry, const char *name, const char *help, double value)
{
    prometheus::BuildGauge().Name(prefixed(name)).Help(help).Register(registry).Add({}).Set(value);
}

/** Adds one counter per reason, so that every label is present even while its value is 0. */
template<typename Table, typename Counts>
void addReasonCounters(
    prometheus::Registry &registry, const char *name, const char *help, const Table &table, const Counts &counts)
{
    auto &family = prometheus::BuildCounter().Name(prefixed(name)).Help(help).Register(registry);
    for (const auto &row : table) {
        const auto n = counts[static_cast<std::size_t>(row.value)];
        family.Add({{"reason", std::string(row.name)}}).Increment(static_cast<double>(n));
    }
}

/** Adds the resource use and the number of waiting tasks of each team. */
void addTeamGauges(prometheus::Registry &registry, const Tables &tables)
{
    constexpr const char *useHelp = "Largest fraction of any resource in service that the team uses, 0 to 1.";
    auto &useFamily = prometheus::BuildGauge().Name(prefixed("team_use_part")).Help(useHelp).Register(registry);
    auto &waitingFamily = prometheus::BuildGauge()
                              .Name(prefixed("team_waiting_tasks"))
                              .Help("Waiting tasks of the team.")
                              .Register(registry);
    for (const auto &it : viewTeams(tables)) {
        useFamily.Add({{"team", it.name}}).Set(it.usageFraction);
        waitingFamily.Add({{"team", it.name}}).Set(it.use.waitingTasks);
    }
}

} // namespace

std::string Metrics::serialize(const Node &node, MonotonicTime now) const
{
    prometheus::Registry registry;
    for (const auto &row : counterTable) {
        auto &family = prometheus::BuildCounter().Name(prefixed(row.name)).Help(row.help).Register(registry);
        family.Add({}).Increment(row.value(node));
    }
    for (const auto &row : gaugeTable) {
        addGauge(registry, row.name, row.help, row.value(node));
    }
    const auto age = viewAgeOf(node, now);
    constexpr double millisecondsPerSecond = 1'000.0;
    addGauge(registry,
             "view_age_seconds",
             "Age of the view in seconds.",
             static_cast<double>(age.age.count()) / millisecondsPerSecond);
    addGauge(registry, "view_fresh", "1 if the age of the view is within fenceMs, otherwise 0.", age.fresh ? 1 : 0);
    const auto &counters = node.counters;
    addReasonCounters(registry, "refusals_total", "Refused requests.", reasonTable, counters.refusals);
    addReasonCounters(registry,
                      "rejections_total",
                      "Commands of this daemon that were rejected when applied.",
                      reasonTable,
                      counters.rejections);
    addReasonCounters(registry, "retries_total", "Retries.", retryReasonTable, counters.retries);
    addTeamGauges(registry, node.tables);
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace flamingotally
