#include "worker_func.h"

#include "core/digest.h"

#include <algorithm>

namespace flamingotally::standin
{

namespace
{

constexpr std::int64_t percent = 100;

void reportEnd(Standin &standin, HostRef worker, AttemptNumber attempt, Outcome outcome, TaskResult result = {})
{
    auto &boot = standin.hosts.get<WorkerBoot>(worker);
    boot.ends.push_back({++boot.lastReport, {attempt, outcome, std::move(result)}});
}

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
    const auto done = standin.progress.find({order.request, order.ordinal});
    const auto before = done == standin.progress.end() ? Milliseconds{0} : done->second;
    attempt.endsAt = time.now + std::max(attempt.task.run - before, Milliseconds{0});
    attempt.run = standin.journal.size();
    standin.runByAttempt[order.attempt] = attempt.run;
    standin.journal.push_back({standin.hosts.get<HostRow>(worker).name, order, time.now, {}, Outcome::None});
    standin.attempts.insert(std::move(attempt));
}

void stopAttempt(Standin &standin, HostRef worker, const StopOrder &order, const StandinTime &time)
{
    if (const auto ref = findAttempt(standin, worker, order.attempt); ref.isSet()) {
        if (!order.onlyBeforeStart) {
            endAttempt(standin, ref, order.checkpoint ? Outcome::Checkpointed : Outcome::Cancelled, time);
        }
        return;
    }
    if (standin.hosts.get<WorkerBoot>(worker).seenAttempts.insert(order.attempt).second) {
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
    return WorkerTime{time.now.time_since_epoch() + standin.hosts.get<WorkerBoot>(worker).clockOffset};
}

void applyOrders(Standin &standin, HostRef worker, const WorkerSync &sync, const StandinTime &time)
{
    auto &boot = standin.hosts.get<WorkerBoot>(worker);
    std::erase_if(boot.ends, [&sync](const ReportedEnd &it) { return it.report <= sync.ackedReport; });
    renewLeases(standin, worker, sync.renewals);
    for (const auto &it : sync.stops) {
        stopAttempt(standin, worker, it, time);
    }
    for (const auto &it : sync.starts) {
        if (boot.seenAttempts.insert(it.attempt).second) {
            startAttempt(standin, worker, it, time);
        }
    }
}

void endAttempt(Standin &standin, SimAttemptRef ref, Outcome outcome, const StandinTime &time)
{
    const auto attempt = standin.attempts.get<SimAttempt>(ref);
    auto &run = standin.journal[attempt.run];
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
    const auto &boot = standin.hosts.get<WorkerBoot>(worker);
    WorkerReport report;
    report.worker = standin.hosts.get<HostRow>(worker).name;
    report.bootId = boot.bootId;
    report.total = boot.total;
    report.clock = clockOf(standin, worker, time);
    report.ends = boot.ends;
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
    auto &boot = standin.hosts.get<WorkerBoot>(worker);
    ++boot.bootId;
    boot.lastReport = 0;
    boot.ends.clear();
    boot.seenAttempts.clear();
}

} // namespace flamingotally::standin
