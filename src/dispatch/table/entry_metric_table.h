/** @file entry_metric_table.h The metrics of an entry daemon that have no labels. */
#pragma once

#include "dispatch/entry_base.h"
#include "dispatch/opening_func.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace flamingotally::dispatch
{

/** A counter without labels. */
struct CounterRow {
    const char *name;
    const char *help; ///< Description of the metric, in one sentence.
    std::uint64_t (*value)(const Entry &entry);
};

/** The counters without labels. */
inline constexpr std::array counterTable = {
    CounterRow{"flamingotally_ticks_total",
               "Ticks run.",
               [](const Entry &it) {
                   return it.counters.ticks;
               }},
    CounterRow{"flamingotally_accepted_jobs_total",
               "Jobs that were accepted and stored.",
               [](const Entry &it) {
                   return it.counters.accepted;
               }},
    CounterRow{"flamingotally_not_run_calls_total",
               "Calls that were answered as not run, so that the caller may retry.",
               [](const Entry &it) {
                   return it.counters.notRunCalls;
               }},
    CounterRow{"flamingotally_undecided_calls_total",
               "Calls that were answered as undecided, as their outcome was not known in time.",
               [](const Entry &it) {
                   return it.counters.undecided;
               }},
    CounterRow{"flamingotally_started_runs_total",
               "Start orders that workers accepted.",
               [](const Entry &it) {
                   return it.counters.starts;
               }},
    CounterRow{"flamingotally_lost_runs_total",
               "Runs that ended without a report of their end: the worker was silent, restarted or was replaced.",
               [](const Entry &it) {
                   return it.counters.lostRuns;
               }},
    CounterRow{"flamingotally_unanswered_orders_total",
               "Start orders that got no response.",
               [](const Entry &it) {
                   return it.counters.unansweredOrders;
               }},
    CounterRow{"flamingotally_journal_batches_total",
               "Batches sent to the journal, including retries.",
               [](const Entry &it) {
                   return it.counters.batches;
               }},
    CounterRow{"flamingotally_relayed_batches_total",
               "Batches sent to the owner instead of the store, including retries.",
               [](const Entry &it) {
                   return it.counters.relayedBatches;
               }},
    CounterRow{"flamingotally_commit_route_changes_total",
               "Times that the way of this daemon's batches to the store changed.",
               [](const Entry &it) {
                   return it.counters.commitRouteChanges;
               }},
    CounterRow{"flamingotally_advice_questions_total",
               "Requests sent to the policy service.",
               [](const Entry &it) {
                   return it.counters.adviceRequests;
               }},
    CounterRow{"flamingotally_evaluated_workers_total",
               "Workers evaluated for a group in placement passes.",
               [](const Entry &it) {
                   return it.counters.workersEvaluated;
               }},
    CounterRow{"flamingotally_ownership_claims_total",
               "Claims of ownership that this daemon queued.",
               [](const Entry &it) {
                   return it.counters.claims;
               }},
    CounterRow{"flamingotally_ownership_losses_total",
               "Times that this daemon lost or released ownership.",
               [](const Entry &it) {
                   return it.counters.resignations;
               }},
    CounterRow{"flamingotally_worker_suspensions_total",
               "Times that a worker got no tasks for a while because of failed or stalled runs.",
               [](const Entry &it) {
                   return it.counters.suspensions;
               }},
    CounterRow{"flamingotally_worker_suspensions_over_limit_total",
               "Times that a worker was not suspended because enough workers of its pool were.",
               [](const Entry &it) {
                   return it.counters.suspensionsOverLimit;
               }},
    CounterRow{"flamingotally_faulty_steps_total",
               "Times that a step was blamed for its failed or stalled runs, in place of the workers.",
               [](const Entry &it) {
                   return it.counters.faultySteps;
               }},
    CounterRow{"flamingotally_reserved_gangs_total",
               "Waiting gangs that had capacity reserved for all their tasks.",
               [](const Entry &it) {
                   return it.counters.gangsReserved;
               }},
    CounterRow{"flamingotally_delayed_restarts_total",
               "Restarts of endless tasks that were delayed after short runs.",
               [](const Entry &it) {
                   return it.counters.delayedRestarts;
               }},
    CounterRow{"flamingotally_compacted_jobs_total",
               "Ended jobs whose specification was removed from the journal.",
               [](const Entry &it) {
                   return it.counters.compactedJobs;
               }},
    CounterRow{"flamingotally_journal_source_changes_total",
               "Times that this daemon changed between the store and its region's reader as source of the journal.",
               [](const Entry &it) {
                   return it.counters.sourceChanges;
               }},
    CounterRow{"flamingotally_shared_journal_reads_total",
               "Responses with records or a snapshot to daemons that read the journal from this one.",
               [](const Entry &it) {
                   return it.counters.sharedReads;
               }},
    CounterRow{"flamingotally_dropped_log_lines_total",
               "Log lines dropped because the buffer was full.",
               [](const Entry &it) {
                   return it.counters.droppedLines;
               }},
};

/** A gauge without labels whose value is a whole number. */
struct GaugeRow {
    const char *name;
    const char *help; ///< Description of the metric, in one sentence.
    std::size_t (*value)(const Entry &entry);
};

/** The gauges without labels whose values are whole numbers. */
inline constexpr std::array gaugeTable = {
    GaugeRow{"flamingotally_is_owner",
             "1 if this daemon is the owner, else 0.",
             [](const Entry &it) -> std::size_t {
                 return it.isOwner() ? 1 : 0;
             }},
    GaugeRow{"flamingotally_reads_from_region_reader",
             "1 if this daemon's newest read of the journal was sent to the reader of its region, else 0.",
             [](const Entry &it) -> std::size_t {
                 return it.journal.region.sent.source == JournalSource::Reader ? 1 : 0;
             }},
    GaugeRow{"flamingotally_shared_journal_bytes",
             "Size of the records that this daemon holds as the reader of its region.",
             [](const Entry &it) -> std::size_t {
                 return it.share.ring.bytes();
             }},
    GaugeRow{"flamingotally_jobs",
             "Jobs in this daemon's table.",
             [](const Entry &it) -> std::size_t {
                 return it.jobs.table.size();
             }},
    GaugeRow{"flamingotally_runs",
             "Active runs; zero unless this daemon is the owner.",
             [](const Entry &it) -> std::size_t {
                 return it.work.runs.size();
             }},
    GaugeRow{"flamingotally_job_bytes",
             "Estimated size of the rows of jobs in this daemon's table, without their progress.",
             [](const Entry &it) -> std::size_t {
                 return it.jobs.bytes;
             }},
    GaugeRow{"flamingotally_open_tasks",
             "Tasks of open occurrences; zero unless this daemon is the owner.",
             [](const Entry &it) -> std::size_t {
                 return it.work.tasks.size();
             }},
    GaugeRow{"flamingotally_open_row_bytes",
             "Estimated size of the rows of open occurrences; zero unless this daemon is the owner.",
             openRowBytes},
    GaugeRow{"flamingotally_held_jobs",
             "Jobs with a due occurrence that waits until open ones have ended; zero unless this daemon is the owner.",
             heldJobs},
    GaugeRow{"flamingotally_waiting_groups",
             "Groups of tasks that wait to be placed.",
             [](const Entry &it) {
                 return it.work.waitingGroups.size();
             }},
    GaugeRow{"flamingotally_workers_reserved_for_large_tasks",
             "Workers with capacity that the last placement pass reserved for large tasks.",
             [](const Entry &it) -> std::size_t {
                 return it.work.pass.largeReservations;
             }},
    GaugeRow{"flamingotally_stalled_reservations",
             "Those of them on which no capacity has become free for long, so that other tasks may use it.",
             [](const Entry &it) -> std::size_t {
                 return it.work.pass.stalledReservations;
             }},
    GaugeRow{"flamingotally_worker_connections",
             "Open connections to workers.",
             [](const Entry &it) {
                 return it.connections.toWorkers;
             }},
    GaugeRow{"flamingotally_other_connections",
             "Open connections to the store, the policy service and other daemons.",
             [](const Entry &it) {
                 return it.connections.toOthers;
             }},
    GaugeRow{"flamingotally_held_bytes",
             "Bytes held for requests that are not answered and responses that are not sent.",
             [](const Entry &it) {
                 return it.connections.heldBytes;
             }},
    GaugeRow{"flamingotally_caller_connections",
             "Open connections of callers.",
             [](const Entry &it) {
                 return it.connections.ofCallers;
             }},
    GaugeRow{"flamingotally_waiting_calls",
             "Calls that wait until a connection becomes free.",
             [](const Entry &it) {
                 return it.connections.waitingCalls;
             }},
};

} // namespace flamingotally::dispatch
