#include "dispatch/job_base.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Returns true if at least one occurrence has begun. */
bool hasBegun(const JobState &state)
{
    return state.completed.size() > 0
        || std::ranges::any_of(state.progress, [](const auto &it) { return it.second.begun; });
}

/** Returns the memory of a specification beyond JobSpec itself. */
std::size_t heapBytesOf(const JobSpec &spec)
{
    auto bytes = spec.payload.size() + spec.steps.size() * sizeof(StepSpec);
    for (const auto &it : spec.steps) {
        bytes +=
            it.after.size() * sizeof(it.after.front()) + it.requiredLabel.size() + it.dataRack.size() + it.image.size();
    }
    return bytes;
}

} // namespace

JobPhase phaseOf(const JobState &state)
{
    if (state.failed) {
        return JobPhase::Failed;
    }
    if (state.completed.size() == state.total) {
        return JobPhase::Completed;
    }
    if (state.cancelled) {
        return JobPhase::Cancelled;
    }
    return state.begun ? JobPhase::Running : JobPhase::Queued;
}

bool hasEnded(const JobState &state)
{
    return state.failed || state.cancelled || state.completed.size() == state.total;
}

JobRef insertJob(Jobs &jobs, const AcceptedRecord &record)
{
    const auto [it, isNew] = jobs.byId.try_emplace(record.job);
    if (!isNew) {
        return {};
    }
    jobs.partlyRemoved.erase(record.job); // the id is used again
    JobState state;
    state.total = record.spec.occurrences();
    const auto bytes = keptBytesOf(record);
    jobs.bytes += bytes;
    it->second = jobs.table.insert({record.job, record.team, record.queue, record.acceptedAt},
                                   {record.policy, record.spec, bytes},
                                   std::move(state));
    return it->second;
}

AcceptedRecord acceptedRecordOf(const Jobs &jobs, JobRef job)
{
    const auto &identity = jobs.table.get<JobIdentity>(job);
    const auto &plan = jobs.table.get<JobPlan>(job);
    AcceptedRecord record;
    record.job = identity.id;
    record.team = identity.team;
    record.queue = identity.queue;
    record.policy = plan.policy;
    record.spec = plan.spec;
    record.acceptedAt = identity.acceptedAt;
    return record;
}

void eraseJob(Jobs &jobs, JobRef job)
{
    jobs.bytes -= jobs.table.get<JobPlan>(job).bytes;
    jobs.byId.erase(jobs.table.get<JobIdentity>(job).id);
    jobs.table.erase(job);
}

void compactJob(Jobs &jobs, JobRef job)
{
    auto &plan = jobs.table.get<JobPlan>(job);
    const auto released = heapBytesOf(plan.spec);
    plan.spec.payload = std::string();
    plan.spec.steps = std::vector<StepSpec>();
    plan.bytes -= released;
    jobs.bytes -= released;
}

std::size_t keptBytesOf(const AcceptedRecord &record)
{
    return sizeof(JobIdentity) + sizeof(JobPlan) + sizeof(JobState) + record.team.size() + record.queue.size()
        + record.policy.pool.size() + heapBytesOf(record.spec);
}

void applyProgress(JobState &state, const ProgressRecord &record, std::uint64_t offset)
{
    const auto number = record.occurrence;
    const bool isKnown = state.progress.contains(number);
    if (number >= state.total || (!isKnown && state.completed.contains(number))) {
        return; // a completed occurrence without runs does not change any more
    }
    auto &occurrence = state.progress[number];
    if (offset < occurrence.offset) {
        return;
    }
    const bool wasBegun = occurrence.begun;
    occurrence.begun = record.begun;
    occurrence.outcome = record.outcome;
    occurrence.offset = offset;
    occurrence.tasks = record.tasks;
    state.recorded = std::max(state.recorded, number + 1);
    state.failed = state.failed || record.outcome == OccurrenceOutcome::Failed;
    if (record.outcome == OccurrenceOutcome::Completed) {
        state.completed.insert(number);
    }
    if (record.begun) {
        state.begun = true;
    } else if (wasBegun) {
        state.begun = hasBegun(state);
    }
    if (record.outcome == OccurrenceOutcome::Completed && record.tasks.empty()) {
        state.progress.erase(number);
    } else if (record.tasks.empty()) {
        occurrence.tasks.shrink_to_fit(); // an occurrence that has ended keeps no memory for its tasks
    }
}

} // namespace flamingotally::dispatch
