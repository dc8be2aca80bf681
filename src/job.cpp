#include "core/digest.h"
#include "job_func.h"
#include "profile_func.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

constexpr std::uint32_t maxBackoffDoublings = 16; ///< Keeps the multiplication of the backoff from overflowing.

/**
 * Returns whether `needed` tasks would fit on the fleet at once if all its workers were empty. True when the fleet has
 * no workers.
 */
bool fitsFleet(const Tables &tables, const Resources &perTask, std::int64_t needed)
{
    if (tables.workers.size() == 0) {
        return true;
    }
    std::int64_t slots = 0;
    tables.workers.forEach([&](WorkerRef it) {
        auto capacity = tables.workers.get<WorkerCapacity>(it).total;
        while (slots < needed && perTask.fitsInto(capacity)) {
            capacity -= perTask;
            ++slots;
        }
    });
    return slots >= needed;
}

/** Returns the worst outcome among the tasks of a job, all of which have ended. */
Outcome worstOutcome(const Tables &tables, const JobState &job)
{
    constexpr std::array worstFirst{
        Outcome::Lost, Outcome::Failed, Outcome::Withdrawn, Outcome::Cancelled, Outcome::Succeeded};
    for (const auto outcome : worstFirst) {
        const auto hasOutcome = [&](TaskRef it) {
            return tables.tasks.get<TaskState>(it).outcome == outcome;
        };
        if (std::ranges::any_of(job.tasks, hasOutcome)) {
            return outcome;
        }
    }
    return Outcome::Succeeded;
}

} // namespace

Reason resolveSubmissionTeam(const Tables &tables, const ProfileSpec &spec, KeyRef key, TeamRef &team)
{
    if (spec.access == QueueAccess::Open) {
        team = findRef(tables.lookups.teams, spec.team);
    } else {
        if (!key.isSet()) {
            return Reason::KeyMissing;
        }
        if (!tables.keys.contains(key)) {
            return Reason::KeyUnknown;
        }
        const auto &grant = tables.keys.get<KeyGrant>(key);
        if (grant.withdrawn) {
            return Reason::KeyWithdrawn;
        }
        if (grant.role != KeyRole::Submitter) {
            return Reason::KeyLacksRole;
        }
        team = grant.team;
    }
    if (!tables.teams.contains(team)) {
        return Reason::TeamUnknown;
    }
    if (!spec.team.empty() && tables.teams.get<TeamIdentity>(team).name != spec.team) {
        return Reason::ProfileForOtherTeam;
    }
    return tables.teams.get<TeamPolicy>(team).deleted ? Reason::TeamDeleted : Reason::None;
}

Reason testNewWork(const Tables &tables, TeamRef team, const ProfileSpec &profileSpec, const SubmitJob &command)
{
    const bool isSizeValid = command.perTask.isNonNegative() && command.perTask != Resources{};
    const bool isCountValid = command.count >= 1 && (profileSpec.kind != WorkKind::Request || command.count == 1);
    if (!isSizeValid || !isCountValid) {
        return Reason::MalformedRequest;
    }
    if (command.count > limits::maxTasksPerJob || command.payload.size() > limits::maxPayloadBytes) {
        return Reason::RequestTooLarge;
    }
    const std::int64_t needed = profileSpec.kind == WorkKind::Gang ? command.count : 1;
    if (!fitsFleet(tables, command.perTask, needed)) {
        return Reason::ImpossibleSize;
    }
    const auto &policy = tables.teams.get<TeamPolicy>(team);
    if (!(command.perTask * needed).fitsInto(policy.limit)) {
        return Reason::TeamLimitTooSmall;
    }
    const auto &use = tables.teams.get<TeamUsage>(team);
    return use.waitingTasks + command.count > policy.queueLimit ? Reason::QueueFull : Reason::None;
}

void endTask(Tables &tables, const RecordContext &context, TaskRef task, Outcome outcome)
{
    auto &state = tables.tasks.get<TaskState>(task);
    const auto jobRef = tables.tasks.get<TaskIdentity>(task).job;
    auto &job = tables.jobs.get<JobState>(jobRef);
    if (state.phase == TaskPhase::Waiting) {
        --job.waiting;
        --tables.teams.get<TeamUsage>(tables.jobs.get<JobIdentity>(jobRef).team).waitingTasks;
    } else {
        --job.placed;
    }
    state.phase = TaskPhase::Ended;
    state.outcome = outcome;
    state.attempt = {};
    ++job.ended;
    if (outcome != Outcome::Succeeded) {
        ++job.failed;
    }
    if (job.ended == job.tasks.size()) {
        job.outcome = job.cancelled ? Outcome::Cancelled : worstOutcome(tables, job);
        job.endedAt = context.time;
    }
}

void requeueTask(Tables &tables, const RecordContext &context, TaskRef task, Milliseconds delay)
{
    auto &state = tables.tasks.get<TaskState>(task);
    const auto jobRef = tables.tasks.get<TaskIdentity>(task).job;
    auto &job = tables.jobs.get<JobState>(jobRef);
    state.phase = TaskPhase::Waiting;
    state.attempt = {};
    state.waitingSince = context.time;
    state.notBefore = context.time + delay;
    --job.placed;
    ++job.waiting;
    ++tables.teams.get<TeamUsage>(tables.jobs.get<JobIdentity>(jobRef).team).waitingTasks;
}

Milliseconds retryDelay(const ProfileSpec &profileSpec, std::uint32_t failures, AttemptNumber attempt)
{
    const auto doublings = std::min(failures > 0 ? failures - 1 : 0, maxBackoffDoublings);
    const auto full = std::min(profileSpec.retryBackoff * (std::int64_t{1} << doublings), profilelimits::maxBackoff);
    const std::string_view seed(reinterpret_cast<const char *>(&attempt), sizeof(attempt));
    const auto half = full.count() / 2;
    const auto jitter =
        half > 0 ? static_cast<std::int64_t>(digestOfBytes(seed) % static_cast<std::uint64_t>(half)) : 0;
    return full - Milliseconds{jitter};
}

} // namespace flamingotally
