#include "attempt_func.h"
#include "job_func.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

/** Number of additional attempts, beyond the retries, for idempotent tasks whose last attempt ended as lost. */
constexpr std::uint32_t extraAttemptsWhenLost = 8;

/**
 * Tests whether a worker may get another attempt, apart from its capacity. A worker that is set aside gets at most one
 * attempt at a time.
 */
Reason testWorker(const Tables &tables, WorkerRef worker)
{
    if (!tables.workers.contains(worker)) {
        return Reason::WorkerUnknown;
    }
    const auto domain = tables.workers.get<WorkerLocation>(worker).domain;
    if (tables.domains.get<DomainState>(domain).service == DomainService::Out) {
        return Reason::DomainOutOfService;
    }
    switch (tables.workers.get<WorkerState>(worker).service) {
    case WorkerService::Leaving:
        return Reason::WorkerLeaving;
    case WorkerService::SetAside:
        return tables.workers.get<WorkerCapacity>(worker).attempts > 0 ? Reason::WorkerSetAside : Reason::None;
    default:
        return Reason::None;
    }
}

/** Tests whether a task waits and was not placed by an earlier placement of the same command. */
Reason testTask(const Tables &tables, TaskRef task, const PlacementReservations &reservations)
{
    if (!tables.tasks.contains(task)) {
        return Reason::TaskUnknown;
    }
    const bool isWaiting = tables.tasks.get<TaskState>(task).phase == TaskPhase::Waiting;
    return isWaiting && !reservations.byTask.contains(task.index) ? Reason::None : Reason::TaskNotWaiting;
}

/** Returns the resources reserved under an index; none when the map does not contain it. */
Resources reservedFor(const absl::flat_hash_map<std::uint32_t, Resources> &reserved, std::uint32_t index)
{
    const auto it = reserved.find(index);
    return it == reserved.end() ? Resources{} : it->second;
}

/** Next step of a task after one of its attempts has ended. */
enum class NextStep : std::uint8_t {
    End, ///< The task ends.
    Requeue, ///< The task waits again, without backoff.
    Retry, ///< The task waits again, with backoff.
};

/** Returns whether a task may get another attempt after one that ended with failure or was lost. */
bool mayRetry(const ProfileSpec &profileSpec, const TaskState &task, Outcome outcome)
{
    if (profileSpec.kind == WorkKind::Service) {
        return true;
    }
    if (!profileSpec.idempotent) {
        return false;
    }
    if (outcome == Outcome::Lost) {
        return task.attempts <= profileSpec.maxRetries + extraAttemptsWhenLost;
    }
    return task.failures <= profileSpec.maxRetries;
}

NextStep nextStepOf(const ProfileSpec &profileSpec, const TaskState &task, StopCause stop, Outcome outcome)
{
    switch (outcome) {
    case Outcome::Succeeded:
        return profileSpec.kind == WorkKind::Service ? NextStep::Retry : NextStep::End;
    case Outcome::NeverStarted:
    case Outcome::Checkpointed:
        return NextStep::Requeue;
    case Outcome::Cancelled: {
        const bool wasMoved = stop == StopCause::Drained || stop == StopCause::Preempted;
        return wasMoved && profileSpec.idempotent ? NextStep::Requeue : NextStep::End;
    }
    default:
        return mayRetry(profileSpec, task, outcome) ? NextStep::Retry : NextStep::End;
    }
}

/**
 * Returns the outcome of a task from the outcome of its last attempt. A task of a cancelled job is cancelled unless it
 * succeeded. An attempt that was stopped for another cause makes its task failed after an overrun, and lost otherwise.
 * Any other outcome stays the same.
 */
Outcome taskOutcomeOf(Outcome outcome, StopCause stop, bool isCancelled)
{
    if (outcome == Outcome::Succeeded) {
        return outcome;
    }
    if (isCancelled) {
        return Outcome::Cancelled;
    }
    return outcome == Outcome::Cancelled && stop == StopCause::Overrun ? Outcome::Failed
        : outcome == Outcome::Cancelled                                ? Outcome::Lost
                                                                       : outcome;
}

/** Counts the outcome of an attempt in the health counters of its worker. Only success and failure count. */
void countWorkerOutcome(Tables &tables, WorkerRef worker, Outcome outcome)
{
    if (outcome != Outcome::Succeeded && outcome != Outcome::Failed) {
        return;
    }
    auto &state = tables.workers.get<WorkerState>(worker);
    ++state.recentEnds;
    if (outcome == Outcome::Failed) {
        ++state.recentFailures;
    }
    if (state.recentEnds >= limits::healthWindowEnds) {
        state.recentEnds /= 2;
        state.recentFailures /= 2;
    }
}

/** Releases the resources that an attempt reserved on its worker and used of the limit of its team. */
void releaseResources(Tables &tables, TaskRef task, WorkerRef worker, const Resources &reserved)
{
    auto &capacity = tables.workers.get<WorkerCapacity>(worker);
    capacity.used -= reserved;
    --capacity.attempts;
    const auto job = tables.tasks.get<TaskIdentity>(task).job;
    tables.teams.get<TeamUsage>(tables.jobs.get<JobIdentity>(job).team).running -= reserved;
}

/**
 * Marks the placed members of a gang to be stopped after one member was requeued, so that all members can be placed
 * together again.
 */
void stopRestOfGang(Tables &tables, JobRef job)
{
    for (const auto it : tables.jobs.get<JobState>(job).tasks) {
        const auto &state = tables.tasks.get<TaskState>(it);
        if (state.phase != TaskPhase::Placed) {
            continue;
        }
        auto &attempt = tables.attempts.get<AttemptState>(state.attempt);
        if (attempt.stop == StopCause::None) {
            attempt.stop = StopCause::Preempted;
        }
    }
}

} // namespace

Reason testPlacement(const Tables &tables, const Placement &placement, const PlacementReservations &reservations)
{
    if (const auto reason = testTask(tables, placement.task, reservations); reason != Reason::None) {
        return reason;
    }
    if (const auto reason = testWorker(tables, placement.worker); reason != Reason::None) {
        return reason;
    }
    const auto jobRef = tables.tasks.get<TaskIdentity>(placement.task).job;
    const auto &need = tables.jobs.get<JobSpec>(jobRef).perTask;
    const auto &capacity = tables.workers.get<WorkerCapacity>(placement.worker);
    if (!need.fitsInto(capacity.free() - reservedFor(reservations.byWorker, placement.worker.index))) {
        return Reason::WorkerFull;
    }
    const auto team = tables.jobs.get<JobIdentity>(jobRef).team;
    const auto running = tables.teams.get<TeamUsage>(team).running + reservedFor(reservations.byTeam, team.index);
    return (running + need).fitsInto(tables.teams.get<TeamPolicy>(team).limit) ? Reason::None : Reason::TeamLimit;
}

const ProfileSpec &profileSpecOf(const Tables &tables, AttemptRef attempt)
{
    const auto task = tables.attempts.get<AttemptIdentity>(attempt).task;
    return tables.jobs.get<JobSpec>(tables.tasks.get<TaskIdentity>(task).job).profileSpec;
}

bool isInDomainOf(const Tables &tables, AttemptRef attempt, DaemonRef daemon)
{
    const auto worker = tables.attempts.get<AttemptIdentity>(attempt).worker;
    return tables.daemons.contains(daemon)
        && tables.daemons.get<DaemonIdentity>(daemon).domain == tables.workers.get<WorkerLocation>(worker).domain;
}

void reservePlacement(const Tables &tables, const Placement &placement, PlacementReservations &reservations)
{
    const auto jobRef = tables.tasks.get<TaskIdentity>(placement.task).job;
    const auto &need = tables.jobs.get<JobSpec>(jobRef).perTask;
    reservations.byWorker[placement.worker.index] += need;
    reservations.byTeam[tables.jobs.get<JobIdentity>(jobRef).team.index] += need;
    ++reservations.byTask[placement.task.index];
}

void beginAttempt(Tables &tables, const RecordContext &context, const Placement &placement)
{
    const auto jobRef = tables.tasks.get<TaskIdentity>(placement.task).job;
    const auto need = tables.jobs.get<JobSpec>(jobRef).perTask;
    const auto number = tables.position.nextAttempt++;
    const auto bootId = tables.workers.get<WorkerIdentity>(placement.worker).bootId;
    AttemptState state;
    state.reserved = need;
    state.placedAt = context.time;
    const auto attempt = tables.attempts.insert({number, placement.task, placement.worker, bootId}, state);
    indexAttempt(tables, attempt);

    auto &task = tables.tasks.get<TaskState>(placement.task);
    task.phase = TaskPhase::Placed;
    task.attempt = attempt;
    ++task.attempts;

    auto &job = tables.jobs.get<JobState>(jobRef);
    --job.waiting;
    ++job.placed;

    auto &capacity = tables.workers.get<WorkerCapacity>(placement.worker);
    capacity.used += need;
    ++capacity.attempts;

    auto &use = tables.teams.get<TeamUsage>(tables.jobs.get<JobIdentity>(jobRef).team);
    use.running += need;
    --use.waitingTasks;
}

void endAttempt(Tables &tables, const RecordContext &context, AttemptRef attempt, const AttemptEnd &end)
{
    const auto identity = tables.attempts.get<AttemptIdentity>(attempt);
    const auto state = tables.attempts.get<AttemptState>(attempt);
    releaseResources(tables, identity.task, identity.worker, state.reserved);
    unindexAttempt(tables, attempt);
    tables.attempts.erase(attempt);

    auto &task = tables.tasks.get<TaskState>(identity.task);
    const auto job = tables.tasks.get<TaskIdentity>(identity.task).job;
    const auto &profileSpec = tables.jobs.get<JobSpec>(job).profileSpec;
    const bool isCancelled = tables.jobs.get<JobState>(job).cancelled;
    if (end.outcome == Outcome::NeverStarted) {
        --task.attempts;
    }
    if (end.outcome == Outcome::Failed && state.stop == StopCause::None) {
        ++task.failures;
        task.lastFailedOn = identity.worker;
        countWorkerOutcome(tables, identity.worker, end.outcome);
    }
    if (end.outcome == Outcome::Succeeded) {
        countWorkerOutcome(tables, identity.worker, end.outcome);
        auto &result = tables.tasks.get<TaskResult>(identity.task);
        result = end.result;
        result.attempt = identity.number;
    }
    const auto step = nextStepOf(profileSpec, task, state.stop, end.outcome);
    if (isCancelled || step == NextStep::End) {
        endTask(tables, context, identity.task, taskOutcomeOf(end.outcome, state.stop, isCancelled));
        return;
    }
    const auto delay =
        step == NextStep::Retry ? retryDelay(profileSpec, task.failures, identity.number) : Milliseconds{0};
    requeueTask(tables, context, identity.task, delay);
    if (profileSpec.kind == WorkKind::Gang) {
        stopRestOfGang(tables, job);
    }
}

} // namespace flamingotally
