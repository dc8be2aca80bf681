/** @file housekeeping.cpp Ends what must not go on: late and hopeless work, overruns, old rows. */
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

/** Kept beyond the window, since the log's clock is only estimated. */
constexpr Milliseconds expiryMargin{5'000};

/** Tasks in one withdrawal at most. */
constexpr std::size_t maxTasksPerWithdrawal = 128;

/** Failures on end from which a task may be hopeless. */
constexpr std::uint32_t hopelessFailures = 5;

/** Mean time between failures below which such a task is hopeless. */
constexpr std::int64_t hopelessMeanMs = 60'000;

/** Key of the task of expiring old rows, which one daemon sees to. */
constexpr std::string_view expiryDuty = "expire";

bool isLate(const JobSpec &spec, const JobState &job, const TaskState &task, LogTime now)
{
    const auto maxWait = spec.profileSpec.maxWait;
    return maxWait > Milliseconds::zero() && task.attempts == 0 && now >= job.acceptedAt + maxWait;
}

/** Tells whether a task fails wherever it runs. */
bool isHopeless(const JobState &job, const TaskState &task, LogTime now)
{
    const bool hasSuccess = job.ended > job.failed;
    const auto age = (now - job.acceptedAt).count();
    return !hasSuccess && task.failures >= hopelessFailures && age < task.failures * hopelessMeanMs;
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

/** Ends waiting tasks that are too late or hopeless, of jobs that this daemon is the home of. */
void endWaitingTasks(Node &node, const TaskKeySet &inHand, LogTime now, const TickTime &time)
{
    const auto &tables = node.tables;
    std::vector<TaskRef> late;
    std::vector<TaskRef> hopeless;
    tables.jobs.forEach([&](JobRef ref) {
        const auto &job = tables.jobs.get<JobState>(ref);
        if (job.waiting == 0 || !isHomeOf(node, ref, time)) {
            return;
        }
        const auto &spec = tables.jobs.get<JobSpec>(ref);
        for (const auto it : job.tasks) {
            const auto &task = tables.tasks.get<TaskState>(it);
            if (task.phase != TaskPhase::Waiting || inHand.contains(keyOf(it))) {
                continue;
            }
            if (isLate(spec, job, task, now)) {
                late.push_back(it);
            } else if (isHopeless(job, task, now)) {
                hopeless.push_back(it);
            }
        }
    });
    withdraw(node, late, Outcome::Withdrawn, time);
    withdraw(node, hopeless, Outcome::Failed, time);
}

/** Stops attempts that run longer than their profile allows. */
void stopOverruns(Node &node, const AttemptNumberSet &stopsInHand, LogTime now, const TickTime &time)
{
    const auto &tables = node.tables;
    std::vector<AttemptNumber> stops;
    tables.attempts.forEach([&](AttemptRef it) {
        const auto &identity = tables.attempts.get<AttemptIdentity>(it);
        const auto &state = tables.attempts.get<AttemptState>(it);
        const auto job = tables.tasks.get<TaskIdentity>(identity.task).job;
        const auto maxRun = tables.jobs.get<JobSpec>(job).profileSpec.maxRun;
        const bool isOver = maxRun > Milliseconds::zero() && now >= state.placedAt + maxRun;
        if (isOver && state.stop == StopCause::None && !stopsInHand.contains(identity.number)
            && ownsWorker(node, identity.worker, time)) {
            stops.push_back(identity.number);
        }
    });
    proposeStops(node, stops, StopCause::Overrun, time);
}

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

/** Drops old rows, when this daemon is the one to do so and there are any. */
void expireRows(Node &node, LogTime now, const TickTime &time)
{
    if (time.now - node.scheduling.expiredAt < expiryInterval) {
        return;
    }
    node.scheduling.expiredAt = time.now;
    if (!isChosen(node, expiryDuty, time)) {
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
    if (time.now - state.housekeptAt >= housekeepingInterval) {
        state.housekeptAt = time.now;
        const auto now = estimateLogTime(node, time);
        const auto proposed = collectProposed(node);
        endWaitingTasks(node, proposed.tasks, now, time);
        stopOverruns(node, proposed.stops, now, time);
        expireRows(node, now, time);
        judgeWorkers(node, time);
    }
    wakeBy(node, state.housekeptAt + housekeepingInterval);
}

} // namespace flamingotally
