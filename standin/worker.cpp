#include "worker_func.h"

#include "core/digest.h"

#include <algorithm>

namespace flamingotally::standin
{

namespace
{

constexpr std::int64_t percent = 100;

/** Adds the end of an attempt to the ends that the worker reports. */
void reportEnd(Standin &standin, HostRef worker, AttemptNumber attempt, Outcome outcome, TaskResult result = {})
{
    auto &state = standin.hosts.get<SimWorker>(worker);
    state.unackedEnds.push_back({++state.lastReport, {attempt, outcome, std::move(result)}});
}

/** Returns the running attempt with a number, or an unset reference when the worker is not running it. */
SimAttemptRef findAttempt(const Standin &standin, HostRef worker, AttemptNumber number)
{
    SimAttemptRef found;
    standin.attempts.forEach([&](SimAttemptRef ref) {
        const auto &it = standin.attempts.get<SimAttempt>(ref);
        if (it.worker == worker && it.number == number) {
            found = ref;
        }
    });
    return found;
}

/** Returns the result of a task, with its bytes only when they are short enough to be part of the report. */
TaskResult makeResult(const Standin &standin, HostRef worker, const Task &task)
{
    auto bytes = resultOf(task);
    TaskResult result;
    result.length = bytes.size();
    result.digest = digestOfBytes(bytes);
    if (bytes.size() <= standin.settings.inlineResultBytes) {
        result.body = std::move(bytes);
    } else {
        result.storedBy = standin.hosts.get<HostRow>(worker).name;
    }
    return result;
}

/** Starts an attempt, or reports that it never started when the order is too late or its lease has expired. */
void startAttempt(Standin &standin, HostRef worker, const StartOrder &order, const StandinTime &time)
{
    const auto clock = clockOf(standin, worker, time);
    if (clock > order.notAfter || clock >= order.leaseUntil) {
        reportEnd(standin, worker, order.attempt, Outcome::NeverStarted);
        return;
    }
    SimAttempt attempt;
    attempt.worker = worker;
    attempt.number = order.attempt;
    attempt.task = parseTask(order.payload);
    attempt.startedAt = time.now;
    attempt.leaseUntil = order.leaseUntil;
    attempt.reserved = order.reserved;
    const auto progress = standin.progress.find({order.request, order.ordinal});
    const auto timeDone = progress == standin.progress.end() ? Milliseconds{0} : progress->second;
    attempt.endsAt = time.now + std::max(attempt.task.runTime - timeDone, Milliseconds{0});
    attempt.runIndex = standin.journal.size();
    standin.runByAttempt[order.attempt] = attempt.runIndex;
    standin.journal.push_back({standin.hosts.get<HostRow>(worker).name, order, time.now, {}, Outcome::None});
    standin.attempts.insert(std::move(attempt));
}

/**
 * Stops an attempt, unless the order applies only before its start. An attempt that has not arrived yet is reported as
 * never started and can no longer start.
 */
void stopAttempt(Standin &standin, HostRef worker, const StopOrder &order, const StandinTime &time)
{
    if (const auto ref = findAttempt(standin, worker, order.attempt); ref.isSet()) {
        if (!order.onlyBeforeStart) {
            endAttempt(standin, ref, order.checkpoint ? Outcome::Checkpointed : Outcome::Cancelled, time);
        }
        return;
    }
    if (standin.hosts.get<SimWorker>(worker).seenAttempts.insert(order.attempt).second) {
        reportEnd(standin, worker, order.attempt, Outcome::NeverStarted);
    }
}

void renewLeases(Standin &standin, HostRef worker, const std::vector<Renewal> &renewals)
{
    for (const auto &it : renewals) {
        if (const auto ref = findAttempt(standin, worker, it.attempt); ref.isSet()) {
            auto &attempt = standin.attempts.get<SimAttempt>(ref);
            attempt.leaseUntil = std::max(attempt.leaseUntil, it.leaseUntil);
        }
    }
}

} // namespace

WorkerTime clockOf(const Standin &standin, HostRef worker, const StandinTime &time)
{
    return WorkerTime{time.now.time_since_epoch() + standin.hosts.get<SimWorker>(worker).clockOffset};
}

void applyOrders(Standin &standin, HostRef worker, const WorkerSync &sync, const StandinTime &time)
{
    auto &state = standin.hosts.get<SimWorker>(worker);
    std::erase_if(state.unackedEnds, [&sync](const ReportedEnd &it) { return it.report <= sync.ackedReport; });
    renewLeases(standin, worker, sync.renewals);
    for (const auto &it : sync.stops) {
        stopAttempt(standin, worker, it, time);
    }
    for (const auto &it : sync.starts) {
        if (state.seenAttempts.insert(it.attempt).second) {
            startAttempt(standin, worker, it, time);
        }
    }
}

void endAttempt(Standin &standin, SimAttemptRef ref, Outcome outcome, const StandinTime &time)
{
    const auto attempt = standin.attempts.get<SimAttempt>(ref);
    auto &run = standin.journal[attempt.runIndex];
    run.endedAt = time.now;
    run.outcome = outcome;
    const ProgressKey key{run.order.request, run.order.ordinal};
    if (outcome == Outcome::Checkpointed) {
        standin.progress[key] += time.now - attempt.startedAt;
    }
    TaskResult result;
    if (outcome == Outcome::Succeeded) {
        standin.progress.erase(key);
        result = makeResult(standin, attempt.worker, attempt.task);
    }
    standin.attempts.erase(ref);
    reportEnd(standin, attempt.worker, attempt.number, outcome, std::move(result));
}

WorkerReport makeReport(Standin &standin, HostRef worker, const StandinTime &time)
{
    const auto &state = standin.hosts.get<SimWorker>(worker);
    WorkerReport report;
    report.worker = standin.hosts.get<HostRow>(worker).name;
    report.bootId = state.bootId;
    report.total = state.total;
    report.clock = clockOf(standin, worker, time);
    report.ends = state.unackedEnds;
    standin.attempts.forEach([&](SimAttemptRef ref) {
        auto &it = standin.attempts.get<SimAttempt>(ref);
        if (it.worker != worker) {
            return;
        }
        report.active.push_back(it.number);
        const bool isOldEnough = time.now - it.startedAt >= standin.settings.usageLag;
        if (isOldEnough && time.now - it.usageReportedAt >= standin.settings.usageInterval) {
            it.usageReportedAt = time.now;
            const auto used = it.reserved * it.task.usagePercent;
            report.usage.push_back(
                {it.number, {used.cpuMilli / percent, used.memoryMb / percent, it.reserved.accelerators}});
        }
    });
    return report;
}

void rebootWorker(Standin &standin, HostRef worker, const StandinTime &time)
{
    standin.attempts.forEach([&](SimAttemptRef ref) {
        if (standin.attempts.get<SimAttempt>(ref).worker == worker) {
            endAttempt(standin, ref, Outcome::Lost, time);
        }
    });
    auto &state = standin.hosts.get<SimWorker>(worker);
    ++state.bootId;
    state.lastReport = 0;
    state.unackedEnds.clear();
    state.seenAttempts.clear();
}

} // namespace flamingotally::standin
