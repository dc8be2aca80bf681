/** @file housekeeping.cpp Ends late and persistently failing tasks, stops overruns, expires old rows. */
#include "command_func.h"
#include "node_func.h"
#include "systems/rendezvous.h"
#include "systems/scheduling.h"
#include "systems/systems.h"
#include "systems/worker_health.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

constexpr Milliseconds housekeepingInterval{500};
constexpr Milliseconds expiryInterval{10'000};

/** Request ids are retained for this time beyond the request window, since the log's clock is only estimated. */
constexpr Milliseconds expiryMargin{5'000};

/** Maximum number of tasks in one withdrawal command. */
constexpr std::size_t maxTasksPerWithdrawal = 128;

/** Minimum number of failures of a task that fails persistently. */
constexpr std::uint32_t minPersistentFailures = 5;

/** A task fails persistently only if the mean time between its failures since the job was accepted is below this. */
constexpr std::int64_t maxMeanFailureIntervalMs = 60'000;

/** Rendezvous key that selects the one daemon that expires old rows. */
constexpr std::string_view expiryKey = "expire";

/** Returns true if a task has never been placed and its job was accepted longer ago than the maximum wait. */
bool isLate(const JobSpec &spec, const JobState &job, const TaskState &task, LogTime now)
{
    const auto maxWait = spec.profileSpec.maxWait;
    return maxWait > Milliseconds::zero() && task.attempts == 0 && now >= job.acceptedAt + maxWait;
}

/** Returns true if a task keeps failing quickly and no task of its job has succeeded. */
bool isFailingPersistently(const JobState &job, const TaskState &task, LogTime now)
{
    const bool hasSuccess = job.ended > job.failed;
    const auto age = (now - job.acceptedAt).count();
    return !hasSuccess && task.failures >= minPersistentFailures && age < task.failures * maxMeanFailureIntervalMs;
}

void withdraw(Node &node, const std::vector<TaskRef> &tasks, Outcome outcome, const TickTime &time)
{
    for (std::size_t first = 0; first < tasks.size(); first += maxTasksPerWithdrawal) {
        const auto last = std::min(tasks.size(), first + maxTasksPerWithdrawal);
        WithdrawTasks command;
        command.outcome = outcome;
        for (auto n = first; n < last; ++n) {
            command.tasks.push_back(tasks[n]);
        }
        propose(node, std::move(command), time);
    }
}

/** Ends waiting tasks that are late or fail persistently, for the jobs that this daemon is responsible for. */
void endWaitingTasks(Node &node, const TaskKeySet &proposedTasks, LogTime now, const TickTime &time)
{
    const auto &tables = node.tables;
    std::vector<TaskRef> late;
    std::vector<TaskRef> failing;
    tables.jobs.forEach([&](JobRef ref) {
        const auto &job = tables.jobs.get<JobState>(ref);
        if (job.waiting == 0 || !isResponsibleFor(node, ref, time)) {
            return;
        }
        const auto &spec = tables.jobs.get<JobSpec>(ref);
        for (const auto it : job.tasks) {
            const auto &task = tables.tasks.get<TaskState>(it);
            if (task.phase != TaskPhase::Waiting || proposedTasks.contains(keyOf(it))) {
                continue;
            }
            if (isLate(spec, job, task, now)) {
                late.push_back(it);
            } else if (isFailingPersistently(job, task, now)) {
                failing.push_back(it);
            }
        }
    });
    withdraw(node, late, Outcome::Withdrawn, time);
    withdraw(node, failing, Outcome::Failed, time);
}

/** Proposes to stop attempts on this daemon's workers that have exceeded the maximum run time of their profile. */
void stopOverruns(Node &node, const AttemptNumberSet &proposedStops, LogTime now, const TickTime &time)
{
    const auto &tables = node.tables;
    std::vector<AttemptNumber> stops;
    tables.attempts.forEach([&](AttemptRef it) {
        const auto &identity = tables.attempts.get<AttemptIdentity>(it);
        const auto &state = tables.attempts.get<AttemptState>(it);
        const auto job = tables.tasks.get<TaskIdentity>(identity.task).job;
        const auto maxRun = tables.jobs.get<JobSpec>(job).profileSpec.maxRun;
        const bool isOverrun = maxRun > Milliseconds::zero() && now >= state.placedAt + maxRun;
        if (isOverrun && state.stop == StopCause::None && !proposedStops.contains(identity.number)
            && ownsWorker(node, identity.worker, time)) {
            stops.push_back(identity.number);
        }
    });
    proposeStops(node, stops, StopCause::Overrun, time);
}

/** Returns true if a command to expire records with these bounds would remove any. */
bool hasExpired(const Tables &tables, const ExpireRecords &bounds)
{
    bool found = tables.history.size() > bounds.historyRetained;
    tables.jobs.forEach([&](JobRef it) {
        const auto &state = tables.jobs.get<JobState>(it);
        found = found || (state.outcome != Outcome::None && state.endedAt < bounds.jobsEndedBefore);
    });
    tables.requests.forEach([&](RequestRef it) {
        const auto &record = tables.requests.get<RequestRecord>(it);
        const LogTime issuedAt{record.id.issuedAt().time_since_epoch()};
        found = found || (issuedAt < bounds.requestsIssuedBefore && !tables.jobs.contains(record.job));
    });
    return found;
}

/** Proposes to expire old rows if there are any and this daemon is the one chosen to do so. */
void expireRows(Node &node, LogTime now, const TickTime &time)
{
    if (time.now - node.scheduling.lastExpiryAt < expiryInterval) {
        return;
    }
    node.scheduling.lastExpiryAt = time.now;
    if (!isRendezvousChoice(node, expiryKey, time)) {
        return;
    }
    ExpireRecords command;
    command.jobsEndedBefore = now - node.settings.jobRetention;
    command.requestsIssuedBefore = now - limits::requestWindow - expiryMargin;
    if (hasExpired(node.tables, command)) {
        propose(node, command, time);
    }
}

} // namespace

void housekeepingSystem(Node &node, const TickTime &time)
{
    auto &state = node.scheduling;
    if (node.phase != NodePhase::Serving || !node.view.fresh) {
        return;
    }
    if (time.now - state.lastHousekeepingAt >= housekeepingInterval) {
        state.lastHousekeepingAt = time.now;
        const auto now = estimateLogTime(node, time);
        const auto proposed = collectProposedWork(node);
        endWaitingTasks(node, proposed.tasks, now, time);
        stopOverruns(node, proposed.stops, now, time);
        expireRows(node, now, time);
        updateWorkerHealth(node, time);
    }
    wakeBy(node, state.lastHousekeepingAt + housekeepingInterval);
}

} // namespace flamingotally
