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

/** A figure without labels. */
struct FigureRow {
    const char *name; ///< Name of the metric, without the prefix.
    const char *help; ///< One sentence.
    double (*value)(const Node &node); ///< Reads it.
};

constexpr std::array counterTable = {
    FigureRow{"accepted_total",
              "Requests answered without a refusal.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.accepted);
              }},
    FigureRow{"starts_total",
              "Starts that workers confirmed.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.starts);
              }},
    FigureRow{"appends_total",
              "Batches appended to the log.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.appends);
              }},
    FigureRow{"appended_bytes_total",
              "Bytes appended to the log.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.appendedBytes);
              }},
    FigureRow{"records_applied_total",
              "Records of the log that were applied.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.recordsApplied);
              }},
    FigureRow{"ticks_total",
              "Runs of the systems.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.ticks);
              }},
    FigureRow{"heartbeats_dropped_total",
              "Heartbeats that were malformed or not authentic.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.heartbeatsDropped);
              }},
    FigureRow{"digest_mismatches_total",
              "Digests of peers that differ at the same offset.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.digestMismatches);
              }},
    FigureRow{"snapshots_loaded_total",
              "Snapshots that were loaded.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.snapshotsLoaded);
              }},
    FigureRow{"snapshots_written_total",
              "Snapshots that were written.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.snapshotsWritten);
              }},
    FigureRow{"snapshots_refused_total",
              "Snapshots that were malformed or contradicted.",
              [](const Node &it) {
                  return static_cast<double>(it.counters.snapshotsRefused);
              }},
};

constexpr std::array gaugeTable = {
    FigureRow{"offset",
              "Offset of the next record to apply.",
              [](const Node &it) {
                  return static_cast<double>(it.tables.position.nextOffset);
              }},
    FigureRow{"phase",
              "0 catching up, 1 serving, 2 draining, 3 drained.",
              [](const Node &it) {
                  return static_cast<double>(it.phase);
              }},
    FigureRow{"jobs",
              "Jobs in the tables, ended ones included.",
              [](const Node &it) {
                  return static_cast<double>(it.tables.jobs.size());
              }},
    FigureRow{"tasks",
              "Tasks in the tables, ended ones included.",
              [](const Node &it) {
                  return static_cast<double>(it.tables.tasks.size());
              }},
    FigureRow{"attempts",
              "Live attempts.",
              [](const Node &it) {
                  return static_cast<double>(it.tables.attempts.size());
              }},
    FigureRow{"workers",
              "Workers in the tables.",
              [](const Node &it) {
                  return static_cast<double>(it.tables.workers.size());
              }},
    FigureRow{"proposals",
              "Commands that wait to be read back.",
              [](const Node &it) {
                  return static_cast<double>(it.proposals.size());
              }},
    FigureRow{"waiters",
              "Callers who wait.",
              [](const Node &it) {
                  return static_cast<double>(it.waiters.size());
              }},
    FigureRow{"snapshot_bytes",
              "Size of the last snapshot written.",
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

/** Adds one counter for each row of a table of names, so that each reason has its own label from the start. */
template<typename Table, typename Counts>
void addReasons(
    prometheus::Registry &registry, const char *name, const char *help, const Table &table, const Counts &counts)
{
    auto &family = prometheus::BuildCounter().Name(prefixed(name)).Help(help).Register(registry);
    for (const auto &row : table) {
        const auto n = counts[static_cast<std::size_t>(row.value)];
        family.Add({{"reason", std::string(row.name)}}).Increment(static_cast<double>(n));
    }
}

/** Figures of each team against its limit. */
void addTeams(prometheus::Registry &registry, const Tables &tables)
{
    constexpr const char *useHelp = "Largest part of any resource in service that the team has.";
    auto &use = prometheus::BuildGauge().Name(prefixed("team_use_part")).Help(useHelp).Register(registry);
    auto &waiting =
        prometheus::BuildGauge().Name(prefixed("team_waiting_tasks")).Help("Waiting tasks.").Register(registry);
    for (const auto &it : viewTeams(tables)) {
        use.Add({{"team", it.name}}).Set(it.usageFraction);
        waiting.Add({{"team", it.name}}).Set(it.use.waitingTasks);
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
    addGauge(
        registry, "view_age_seconds", "Age of the view.", static_cast<double>(age.age.count()) / millisecondsPerSecond);
    addGauge(registry, "view_fresh", "1 when the view is within the fence.", age.fresh ? 1 : 0);
    const auto &counters = node.counters;
    addReasons(registry, "refusals_total", "Refusals to callers.", reasonTable, counters.refusals);
    addReasons(registry, "rejections_total", "Own commands rejected when applied.", reasonTable, counters.rejections);
    addReasons(registry, "retries_total", "Retries.", retryReasonTable, counters.retries);
    addTeams(registry, node.tables);
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace flamingotally
