/** @file journal_snapshot.h The records that a load from the store would give, made from the tables of a daemon. */
#pragma once

#include "dispatch/entry_base.h"

#include <utility>

namespace flamingotally::dispatch
{

/**
 * Passes the records of one job, each with its offset, to a function. Only progress that may change has the offset at
 * which it is stored, as nothing depends on those of other records.
 */
template<typename Sink>
void forEachRecordOf(const Jobs &jobs, JobRef job, Sink &&sink)
{
    const auto &identity = jobs.table.get<JobIdentity>(job);
    const auto &state = jobs.table.get<JobState>(job);
    sink(std::uint64_t{0}, JournalRecord(acceptedRecordOf(jobs, job)));
    if (state.cancelled) {
        sink(std::uint64_t{0}, JournalRecord(CancelledRecord{identity.id}));
    }
    for (const auto &[n, it] : state.progress) {
        sink(it.offset, JournalRecord(ProgressRecord{identity.id, n, it.begun, it.outcome, it.tasks}));
    }
    for (std::uint32_t n = 0; n < state.recorded; ++n) {
        if (state.completed.contains(n) && !state.progress.contains(n)) {
            sink(std::uint64_t{0},
                 JournalRecord(ProgressRecord{identity.id, n, true, OccurrenceOutcome::Completed, {}}));
        }
    }
}

/**
 * Passes all records, each with its offset, to a function, in an order in which they can be applied: a job before its
 * cancellation and its progress. Heartbeats are left out, as a load says nothing about the owner's activity.
 */
template<typename Sink>
void forEachRecord(const Entry &entry, Sink &&sink)
{
    for (const auto &[name, daemon] : entry.ownership.daemons) {
        sink(std::uint64_t{0}, JournalRecord(daemon.record));
    }
    if (const auto &claim = entry.ownership.newest; claim.token > 0) {
        sink(std::uint64_t{0}, JournalRecord(claim));
    }
    if (const auto &use = entry.pastUse.newest) {
        sink(std::uint64_t{0}, JournalRecord(*use));
    }
    entry.jobs.table.forEach([&](JobRef job) { forEachRecordOf(entry.jobs, job, sink); });
    for (const auto &[job, at] : entry.jobs.cancelledEarly) {
        sink(std::uint64_t{0}, JournalRecord(CancelledRecord{job}));
    }
}

} // namespace flamingotally::dispatch
