#include "fakes/table_builder.h"

namespace flamingotally
{

DomainRef TableBuilder::domain(const std::string &name)
{
    return tables.domains.insert({name}, {});
}

RackRef TableBuilder::rack(const std::string &name, DomainRef domain)
{
    return tables.racks.insert({name, domain});
}

WorkerRef TableBuilder::worker(RackRef rack, const Resources &total)
{
    const auto name = "worker" + std::to_string(tables.workers.capacity());
    const auto domain = tables.racks.get<RackIdentity>(rack).domain;
    const auto worker = tables.workers.insert({name, {}, 1}, {domain, rack}, {total, {}, 0}, {});
    tables.lookups.workers[name] = worker;
    return worker;
}

TeamRef TableBuilder::team(const std::string &name, std::uint32_t share, const Resources &limit)
{
    TeamPolicy policy;
    policy.share = share;
    policy.limit = limit;
    return tables.teams.insert({name}, policy, {});
}

JobRef TableBuilder::job(
    TeamRef team, const ProfileSpec &profileSpec, const Resources &perTask, std::uint32_t count, LogTime since)
{
    JobIdentity identity;
    identity.request = makeRequestId(WallTime{since.time_since_epoch()}, 0, ++m_requests);
    identity.team = team;
    JobSpec spec;
    spec.profileSpec = profileSpec;
    spec.perTask = perTask;
    spec.count = count;
    JobState state;
    state.acceptedAt = since;
    state.waiting = count;
    const auto ref = tables.jobs.insert(identity, spec, state);
    for (std::uint32_t n = 0; n < count; ++n) {
        TaskState taskState;
        taskState.waitingSince = since;
        const auto added = tables.tasks.insert({ref, n}, taskState, {});
        tables.jobs.get<JobState>(ref).tasks.push_back(added);
    }
    tables.teams.get<TeamUsage>(team).waitingTasks += count;
    return ref;
}

AttemptRef TableBuilder::place(TaskRef task, WorkerRef worker, LogTime at)
{
    const auto job = tables.tasks.get<TaskIdentity>(task).job;
    const auto reserved = tables.jobs.get<JobSpec>(job).perTask;
    AttemptState state;
    state.reserved = reserved;
    state.placedAt = at;
    const auto attempt = tables.attempts.insert({tables.position.nextAttempt++, task, worker, 1}, state);
    indexAttempt(tables, attempt);
    auto &taskState = tables.tasks.get<TaskState>(task);
    taskState.phase = TaskPhase::Placed;
    taskState.attempt = attempt;
    ++taskState.attempts;
    --tables.jobs.get<JobState>(job).waiting;
    ++tables.jobs.get<JobState>(job).placed;
    auto &capacity = tables.workers.get<WorkerCapacity>(worker);
    capacity.used += reserved;
    ++capacity.attempts;
    auto &use = tables.teams.get<TeamUsage>(tables.jobs.get<JobIdentity>(job).team);
    use.running += reserved;
    --use.waitingTasks;
    return attempt;
}

TaskRef TableBuilder::task(JobRef job, std::uint32_t ordinal) const
{
    return tables.jobs.get<JobState>(job).tasks[ordinal];
}

} // namespace flamingotally
