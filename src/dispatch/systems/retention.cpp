#include "dispatch/entry_func.h"
#include "dispatch/systems/systems.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Maximum number of keys removed after a scan, so that the owner's batch stays far below what the store accepts. */
constexpr std::uint32_t maxKeysPerScan = 10'000;
constexpr std::uint32_t keysOfAJob = 2; ///< Its acceptance and its cancellation, besides the progress.

/** Forgets cancellations of jobs that were never accepted: the callers have long given up on submitting these jobs. */
void forgetEarlyCancellations(Entry &entry, const TickTime &time)
{
    absl::erase_if(entry.jobs.cancelledEarly, [&](const auto &it) {
        const bool isOld = time.now - it.second >= entry.settings.jobRetention;
        if (isOld && entry.isOwner()) {
            queueRecord(entry, JournalWriter::Owner, RemovedRecord{it.first, 0});
        }
        return isOld;
    });
}

/** Removes keys of ended jobs from the journal, a bounded number after each scan. */
class KeyRemover
{
public:
    explicit KeyRemover(Entry &entry) : m_entry(entry)
    {
    }

    /**
     * Removes the keys of a job, the progress of its last occurrences first, as far as the bound allows.
     * @param recorded JobState::recorded; set to what is left.
     * @return True if no key is left.
     */
    bool remove(JobId job, std::uint32_t &recorded)
    {
        if (m_keys <= keysOfAJob) {
            return false;
        }
        const auto n = std::min(recorded, m_keys - keysOfAJob);
        m_keys -= n + keysOfAJob;
        recorded -= n;
        queueRecord(m_entry, JournalWriter::Owner, RemovedRecord{job, n, recorded, recorded > 0});
        return recorded == 0;
    }

private:
    Entry &m_entry;
    std::uint32_t m_keys = maxKeysPerScan; ///< Number of keys that may still be removed.
};

/** Removes the rest of the jobs that an owner was removing when it was lost. */
void finishRemovals(Entry &entry, KeyRemover &remover)
{
    if (entry.isOwner()) {
        absl::erase_if(entry.jobs.partlyRemoved, [&](auto &it) { return remover.remove(it.first, it.second); });
    }
}

/** Removes the jobs whose retention period has passed. */
void removeOldJobs(Entry &entry, KeyRemover &remover, const TickTime &time)
{
    entry.jobs.table.forEach([&](JobRef job) {
        const auto endedAt = entry.jobs.table.get<JobState>(job).endedAt;
        if (endedAt == MonotonicTime{} || time.now - endedAt < entry.settings.jobRetention) {
            return;
        }
        if (entry.work.byJob.contains(job)) {
            return; // its runs have not all ended, and refer to the job
        }
        const auto id = entry.jobs.table.get<JobIdentity>(job).id;
        if (!entry.isOwner() || remover.remove(id, entry.jobs.table.get<JobState>(job).recorded)) {
            eraseJob(entry.jobs, job);
        }
    });
}

} // namespace

void retentionSystem(Entry &entry, const TickTime &time)
{
    constexpr Milliseconds scanInterval{5'000}; // between two searches for jobs to remove
    if (time.now < entry.nextRetentionScanAt) {
        return;
    }
    entry.nextRetentionScanAt = time.now + scanInterval;
    forgetEarlyCancellations(entry, time);
    KeyRemover remover(entry);
    finishRemovals(entry, remover);
    removeOldJobs(entry, remover, time);
}

} // namespace flamingotally::dispatch
