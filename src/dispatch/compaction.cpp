#include "dispatch/compaction_func.h"

#include "dispatch/entry_func.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/**
 * Maximum number of compact records in a batch. With batchInterval that is three times the rate at which jobs end under
 * the usual load, 51 a second; a new owner that finds thousands spreads them out.
 */
constexpr std::size_t maxCompactRecords = 16;
constexpr Milliseconds batchInterval{100}; ///< Minimum time between two batches with compact records.

/** Returns the accepted record of a job without payload and steps. */
AcceptedRecord compactRecordOf(const Jobs &jobs, JobRef job)
{
    auto record = acceptedRecordOf(jobs, job);
    record.spec.payload.clear();
    record.spec.steps.clear();
    return record;
}

} // namespace

bool isCompact(const JobSpec &spec)
{
    return spec.steps.empty();
}

bool isFinished(const Entry &entry, JobRef job)
{
    return entry.jobs.table.contains(job) && hasEnded(entry.jobs.table.get<JobState>(job))
        && !entry.work.byJob.contains(job);
}

void noteFinishedJob(Entry &entry, JobRef job)
{
    if (entry.isOwner() && isFinished(entry, job) && !isCompact(entry.jobs.table.get<JobPlan>(job).spec)) {
        entry.work.finishedJobs.push_back(job);
    }
}

void applyRepeatedRecord(Entry &entry, JobRef job, const AcceptedRecord &record)
{
    if (!isFinished(entry, job)) {
        return;
    }
    if (isCompact(record.spec)) {
        compactJob(entry.jobs, job);
    } else if (isCompact(entry.jobs.table.get<JobPlan>(job).spec) && entry.isOwner()) {
        entry.work.finishedJobs.push_back(job);
    }
}

void queueCompactRecords(Entry &entry, const TickTime &time)
{
    auto &jobs = entry.work.finishedJobs;
    if (jobs.empty() || time.now < entry.work.compactAt) {
        return;
    }
    entry.work.compactAt = time.now + batchInterval;
    const auto n = static_cast<std::ptrdiff_t>(std::min(jobs.size(), maxCompactRecords));
    for (auto it = jobs.begin(); it != jobs.begin() + n; ++it) {
        if (isFinished(entry, *it)) { // not removed since at the end of its retention
            queueRecord(entry, JournalWriter::Owner, compactRecordOf(entry.jobs, *it));
            ++entry.counters.compactedJobs;
        }
    }
    jobs.erase(jobs.begin(), jobs.begin() + n);
}

void removeCompactJobsWithoutEnd(Jobs &jobs)
{
    jobs.table.forEach([&](JobRef job) {
        if (isCompact(jobs.table.get<JobPlan>(job).spec) && !hasEnded(jobs.table.get<JobState>(job))) {
            const auto id = jobs.table.get<JobIdentity>(job).id;
            jobs.partlyRemoved[id] = jobs.table.get<JobState>(job).recorded;
            eraseJob(jobs, job);
        }
    });
}

} // namespace flamingotally::dispatch
