#include "job_cmd.h"

#include "attempt_func.h"
#include "config_func.h"
#include "job_func.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

/** Number of failures of a task from which it may be ended because it fails on every worker. */
constexpr std::uint32_t minFailuresToEndTask = 3;

/** Tests the time of issue of a request id that is not known yet. */
Reason testRequestTime(const RequestId &request, LogTime now)
{
    const LogTime issuedAt{request.issuedAt().time_since_epoch()};
    if (issuedAt < now - limits::requestWindow) {
        return Reason::RequestIdTooOld;
    }
    return issuedAt > now + limits::requestClockTolerance ? Reason::RequestIdMalformed : Reason::None;
}

/** Tests a submission. Sets `team` to the team that the job counts against if the result is `None`. */
Reason test(const Tables &tables, const RecordContext &context, const SubmitJob &command, TeamRef &team)
{
    if (!command.request.isSet()) {
        return Reason::RequestIdMissing;
    }
    if (const auto known = findRef(tables.lookups.requests, command.request); known.isSet()) {
        const bool isSame = tables.requests.get<RequestRecord>(known).bodyDigest == command.bodyDigest;
        return isSame ? Reason::RequestRepeated : Reason::RequestIdReused;
    }
    if (const auto reason = testRequestTime(command.request, context.time); reason != Reason::None) {
        return reason;
    }
    if (!tables.profiles.contains(command.profile) || tables.profiles.get<ProfileIdentity>(command.profile).deleted) {
        return Reason::ProfileUnknown;
    }
    const auto &spec = tables.profiles.get<ProfileSpec>(command.profile);
    if (const auto reason = resolveSubmissionTeam(tables, spec, command.key, team); reason != Reason::None) {
        return reason;
    }
    return testNewWork(tables, team, spec, command);
}

JobRef insertJob(Tables &tables, const RecordContext &context, const SubmitJob &command, TeamRef team)
{
    const JobIdentity identity{command.request, command.name, team, command.profile, context.proposer};
    const JobSpec spec{tables.profiles.get<ProfileSpec>(command.profile),
                       command.perTask,
                       command.count,
                       command.runEstimate,
                       command.payload,
                       command.bodyDigest};
    JobState state;
    state.acceptedAt = context.time;
    state.waiting = command.count;
    const auto job = tables.jobs.insert(identity, spec, std::move(state));
    auto &tasks = tables.jobs.get<JobState>(job).tasks;
    for (std::uint32_t n = 0; n < command.count; ++n) {
        TaskState task;
        task.waitingSince = context.time;
        task.notBefore = context.time;
        tasks.push_back(tables.tasks.insert({job, n}, task, {}));
    }
    tables.teams.get<TeamUsage>(team).waitingTasks += command.count;
    tables.lookups.requests[command.request] =
        tables.requests.insert({command.request, command.bodyDigest, job, Outcome::None});
    return job;
}

/** Places the tasks for which the accepting daemon found capacity, and sets the counts in the result. */
void placeInitialTasks(Tables &tables, const RecordContext &context, const SubmitJob &command, CommandResult &result)
{
    PlaceTasks place;
    place.allOrNone = tables.jobs.get<JobSpec>(result.job).profileSpec.kind == WorkKind::Gang;
    const auto &tasks = tables.jobs.get<JobState>(result.job).tasks;
    for (const auto &[ordinal, worker] : command.placements) {
        if (ordinal < tasks.size()) {
            place.placements.push_back({tasks[ordinal], worker});
        }
    }
    if (place.placements.empty()) {
        return;
    }
    const auto placed = applyCommand(tables, context, place);
    result.accepted = placed.accepted;
    result.rejected = placed.rejected;
    result.lastPartReason = placed.reason != Reason::None ? placed.reason : placed.lastPartReason;
}

/** Tests whether a key may cancel jobs of a team. An unset key may: it is the bootstrap key or an open queue. */
Reason testCancelKey(const Tables &tables, KeyRef key, TeamRef team)
{
    if (!key.isSet()) {
        return Reason::None;
    }
    if (!tables.keys.contains(key)) {
        return Reason::KeyUnknown;
    }
    const auto &grant = tables.keys.get<KeyGrant>(key);
    if (grant.withdrawn) {
        return Reason::KeyWithdrawn;
    }
    return grant.role == KeyRole::Operator || grant.team == team ? Reason::None : Reason::KeyLacksRole;
}

Reason test(const Tables &tables, const CancelJob &command, JobRef job)
{
    if (!tables.jobs.contains(job)) {
        return Reason::JobUnknown;
    }
    const auto team = tables.jobs.get<JobIdentity>(job).team;
    if (const auto reason = testCancelKey(tables, command.key, team); reason != Reason::None) {
        return reason;
    }
    return tables.jobs.get<JobState>(job).outcome != Outcome::None ? Reason::JobEnded : Reason::None;
}

/**
 * Tests whether a waiting task may be ended with an outcome: with `Failed` once it has failed often enough, with
 * `Withdrawn` if it had no attempt before the longest wait of its profile passed.
 */
Reason testWithdrawal(const Tables &tables, const RecordContext &context, TaskRef task, Outcome outcome)
{
    if (!tables.tasks.contains(task)) {
        return Reason::TaskUnknown;
    }
    const auto &state = tables.tasks.get<TaskState>(task);
    if (state.phase != TaskPhase::Waiting) {
        return Reason::TaskNotWaiting;
    }
    if (outcome == Outcome::Failed) {
        return state.failures >= minFailuresToEndTask ? Reason::None : Reason::TaskNotWaiting;
    }
    const auto job = tables.tasks.get<TaskIdentity>(task).job;
    const auto maxWait = tables.jobs.get<JobSpec>(job).profileSpec.maxWait;
    const bool isLate =
        maxWait > Milliseconds::zero() && context.time >= tables.jobs.get<JobState>(job).acceptedAt + maxWait;
    return isLate && state.attempts == 0 && outcome == Outcome::Withdrawn ? Reason::None : Reason::TaskNotWaiting;
}

/** Deletes a job and its tasks. Copies the outcome to the request record, which is deleted later. */
void dropJob(Tables &tables, JobRef job)
{
    const auto request = findRef(tables.lookups.requests, tables.jobs.get<JobIdentity>(job).request);
    if (request.isSet()) {
        tables.requests.get<RequestRecord>(request).outcome = tables.jobs.get<JobState>(job).outcome;
    }
    for (const auto it : tables.jobs.get<JobState>(job).tasks) {
        tables.tasks.erase(it);
    }
    tables.jobs.erase(job);
}

void dropJobsEndedBefore(Tables &tables, LogTime bound)
{
    tables.jobs.forEach([&](JobRef it) {
        const auto &state = tables.jobs.get<JobState>(it);
        if (state.outcome != Outcome::None && state.endedAt < bound) {
            dropJob(tables, it);
        }
    });
}

/** Deletes old request records, apart from those whose jobs still exist. */
void dropRequestsIssuedBefore(Tables &tables, LogTime bound)
{
    tables.requests.forEach([&](RequestRef it) {
        const auto &record = tables.requests.get<RequestRecord>(it);
        const LogTime issuedAt{record.id.issuedAt().time_since_epoch()};
        if (issuedAt < bound && !tables.jobs.contains(record.job)) {
            tables.lookups.requests.erase(record.id);
            tables.requests.erase(it);
        }
    });
}

void dropOldestHistory(Tables &tables, std::size_t retained)
{
    if (tables.history.size() <= retained) {
        return;
    }
    std::vector<HistoryRef> rows;
    tables.history.forEach([&](HistoryRef it) { rows.push_back(it); });
    const auto offsetOf = [&](HistoryRef it) {
        return tables.history.get<ConfigChange>(it).offset;
    };
    std::ranges::stable_sort(rows, {}, offsetOf);
    rows.resize(rows.size() - retained);
    for (const auto it : rows) {
        tables.history.erase(it);
    }
}

} // namespace

CommandResult apply(Tables &tables, const RecordContext &context, const SubmitJob &command, Phase phase)
{
    TeamRef team;
    auto result = resultWith(test(tables, context, command, team));
    if (result.reason == Reason::RequestRepeated) {
        result.job = tables.requests.get<RequestRecord>(findRef(tables.lookups.requests, command.request)).job;
    }
    if (result.reason != Reason::None || phase == Phase::Test) {
        return result;
    }
    result.job = insertJob(tables, context, command, team);
    placeInitialTasks(tables, context, command, result);
    return result;
}

CommandResult apply(Tables &tables, const RecordContext &context, const CancelJob &command, Phase phase)
{
    const auto request = findRef(tables.lookups.requests, command.request);
    const auto job = request.isSet() ? tables.requests.get<RequestRecord>(request).job : JobRef{};
    auto result = resultWith(test(tables, command, job));
    result.job = job;
    if (result.reason != Reason::None || phase == Phase::Test) {
        return result;
    }
    tables.jobs.get<JobState>(job).cancelled = true;
    const auto tasks = tables.jobs.get<JobState>(job).tasks;
    for (const auto it : tasks) {
        auto &state = tables.tasks.get<TaskState>(it);
        if (state.phase == TaskPhase::Waiting) {
            endTask(tables, context, it, Outcome::Cancelled);
        } else if (state.phase == TaskPhase::Placed) {
            tables.attempts.get<AttemptState>(state.attempt).stop = StopCause::Cancelled;
        }
        ++result.accepted;
    }
    return result;
}

CommandResult apply(Tables &tables, const RecordContext &context, const WithdrawTasks &command, Phase phase)
{
    CommandResult result;
    for (const auto it : command.tasks) {
        if (const auto reason = testWithdrawal(tables, context, it, command.outcome); reason != Reason::None) {
            result.lastPartReason = reason;
            ++result.rejected;
            continue;
        }
        ++result.accepted;
        if (phase == Phase::Execute) {
            endTask(tables, context, it, command.outcome);
        }
    }
    return result;
}

CommandResult apply(Tables &tables, const RecordContext &context, const ExpireRecords &command, Phase phase)
{
    if (command.requestsIssuedBefore > context.time - limits::requestWindow) {
        return resultWith(Reason::MalformedRequest);
    }
    if (phase == Phase::Execute) {
        dropJobsEndedBefore(tables, command.jobsEndedBefore);
        dropRequestsIssuedBefore(tables, command.requestsIssuedBefore);
        dropOldestHistory(tables, command.historyRetained);
    }
    return {};
}

} // namespace flamingotally
