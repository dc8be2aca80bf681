/** @file job_base.h Jobs as every daemon knows them from the journal. */
#pragma once

#include "dispatch/journal_type.h"

#include <absl/container/flat_hash_map.h>

namespace flamingotally::dispatch
{

/** Whose job it is. */
struct JobIdentity {
    JobId id = 0;
    std::string team; ///< Empty on open queues without a key.
    std::string queue;
    Milliseconds acceptedAt{0}; ///< Wall time of the daemon that accepted it.
};

/** What it asks for, and how it is treated. */
struct JobPlan {
    JobPolicy policy;
    JobSpec spec;
};

/** How far an occurrence is, by the newest record. */
struct OccurrenceProgress {
    bool begun = false;
    OccurrenceOutcome outcome = OccurrenceOutcome::None;
    std::uint64_t offset = 0; ///< Of the record.
    std::vector<TaskProgress> tasks; ///< Empty before the first record and after the end.
};

/** How far a job is, by the journal. */
struct JobState {
    bool cancelled = false;
    bool failed = false;
    bool begun = false;
    std::uint32_t completed = 0; ///< Occurrences that have completed.
    MonotonicTime endedAt{}; ///< When the end was read; zero before.
    std::vector<OccurrenceProgress> occurrences;
};

using JobTable = Table<JobTag, JobIdentity, JobPlan, JobState>;

/** Jobs and the way to find them by id. */
struct Jobs {
    JobTable table;
    absl::flat_hash_map<JobId, JobRef> byId;
};

/** State of a job as callers see it. */
JobPhase phaseOf(const JobState &state);

/** Tells whether nothing more will run for a job. */
bool hasEnded(const JobState &state);

/**
 * Enters an accepted job.
 * @return Its address; unset when the id is known already.
 */
JobRef insertJob(Jobs &jobs, const AcceptedRecord &record);

/** Takes in how far an occurrence is; older records than the known one change nothing. */
void applyProgress(JobState &state, const ProgressRecord &record, std::uint64_t offset);

} // namespace flamingotally::dispatch
