/** @file job_base.h The table of jobs that every daemon builds from the journal. */
#pragma once

#include "dispatch/journal_type.h"
#include "dispatch/occurrence_set.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

namespace flamingotally::dispatch
{

/** Id and origin of a job. */
struct JobIdentity {
    JobId id = 0;
    std::string team; ///< Empty on open queues without a key.
    std::string queue;
    Milliseconds acceptedAt{0}; ///< Since the Unix epoch, by the wall clock of the daemon that accepted the job.
};

/** The specification of a job and the policy of its queue. */
struct JobPlan {
    JobPolicy policy;
    JobSpec spec;
    std::size_t bytes = 0; ///< Estimated memory of the job's row, without its progress.
};

/** Progress of an occurrence, from its newest record. Without a record, it is as constructed. */
struct OccurrenceProgress {
    bool begun = false; ///< A task has been placed, and not all placements were given up before a run had started.
    OccurrenceOutcome outcome = OccurrenceOutcome::None;
    std::uint64_t offset = 0; ///< Offset of the newest record in the journal.
    std::vector<TaskProgress> tasks; ///< Empty before the first record and after the end.
};

/** Progress of a job, from the journal. */
struct JobState {
    bool cancelled = false;
    bool failed = false;
    bool begun = false; ///< At least one of its occurrences has begun.
    std::uint32_t total = 1; ///< Number of its occurrences.
    OccurrenceSet completed; ///< Occurrences that have completed.
    std::uint32_t recorded = 0; ///< Higher by one than the last occurrence of which a record was read; zero for none.
    bool reported = false; ///< This daemon has reported the end of the job to a caller.
    MonotonicTime endedAt{}; ///< When the record that ended the job was read from the journal; zero before.
    /**
     * Progress by the number of the occurrence. Not of occurrences without a record, nor of those that have completed
     * and have no run left: a job may have 100,000 of either.
     */
    absl::btree_map<std::uint32_t, OccurrenceProgress> progress;
};

using JobTable = Table<JobTag, JobIdentity, JobPlan, JobState>;

/** The table of jobs with its index by id, and the jobs that may still be accepted although they were cancelled. */
struct Jobs {
    JobTable table;
    absl::flat_hash_map<JobId, JobRef> byId;
    std::size_t bytes = 0; ///< Sum of JobPlan::bytes.
    /** When the cancellations of jobs were read that had not been accepted before. */
    absl::flat_hash_map<JobId, MonotonicTime> cancelledEarly;
    /** Ended jobs of which only a part was loaded, as their keys are being removed, with JobState::recorded. */
    absl::flat_hash_map<JobId, std::uint32_t> partlyRemoved;
};

/** Returns the state of a job as callers see it. */
JobPhase phaseOf(const JobState &state);

/** Returns true if the job completed, failed or was cancelled, so that nothing more is started for it. */
bool hasEnded(const JobState &state);

/**
 * Inserts an accepted job into the table.
 * @return Reference to the new job; unset when the table already has a job with this id.
 */
JobRef insertJob(Jobs &jobs, const AcceptedRecord &record);

/** Returns the record by which a job was accepted, or the compact one that replaced it. */
AcceptedRecord acceptedRecordOf(const Jobs &jobs, JobRef job);

/** Removes a job from the table. */
void eraseJob(Jobs &jobs, JobRef job);

/** Removes payload and steps from a job's specification, and releases their memory. */
void compactJob(Jobs &jobs, JobRef job);

/** Returns the estimated memory of the row of a job, without its progress, in bytes. */
std::size_t keptBytesOf(const AcceptedRecord &record);

/**
 * Applies the progress of one occurrence. Records that are older than the last one applied are ignored.
 * @param offset Offset of the record in the journal.
 */
void applyProgress(JobState &state, const ProgressRecord &record, std::uint64_t offset);

} // namespace flamingotally::dispatch
