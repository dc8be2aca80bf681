#include "systems/worker_health.h"

#include "node_func.h"

#include <absl/container/flat_hash_set.h>

namespace flamingotally
{

namespace
{

constexpr Milliseconds healthInterval{2'000};

/** Failure rate from which a worker may be set aside. */
constexpr double leastBadRate = 0.5;

/** How many times the rate of the rest of the fleet it must be. */
constexpr double badRateRatio = 3.0;

/** Tasks of jobs that run well elsewhere that must have failed there. */
constexpr std::uint32_t leastEvidence = 3;

/** Part of the fleet that may be set aside: one in so many workers. */
constexpr std::size_t setAsidePart = 5;

/** Workers on which a job's tasks must fail for it to count as failing everywhere. */
constexpr std::size_t poisonedWorkers = 3;

/** Failures of one task for the same. */
constexpr std::uint32_t poisonedFailures = 3;

/** Tasks that must succeed before a worker is put back. */
constexpr std::uint32_t probesToPass = 2;

/** Sums of the counts of workers. */
struct FleetHealth {
    std::uint64_t ends = 0;
    std::uint64_t failures = 0;
    std::size_t workers = 0;
    std::size_t setAside = 0;
};

FleetHealth fleetHealth(const Tables &tables)
{
    FleetHealth fleet;
    tables.workers.forEach([&](WorkerRef it) {
        const auto &state = tables.workers.get<WorkerState>(it);
        fleet.ends += state.recentEnds;
        fleet.failures += state.recentFailures;
        ++fleet.workers;
        fleet.setAside += state.service == WorkerService::SetAside ? 1 : 0;
    });
    return fleet;
}

bool failsEverywhere(const Tables &tables, const JobState &job)
{
    if (job.ended > job.failed) {
        return false;
    }
    absl::flat_hash_set<std::uint32_t> workers;
    for (const auto it : job.tasks) {
        const auto &task = tables.tasks.get<TaskState>(it);
        if (task.failures >= poisonedFailures) {
            return true;
        }
        if (task.lastFailedOn.isSet()) {
            workers.insert(task.lastFailedOn.index);
        }
    }
    return workers.size() >= poisonedWorkers;
}

bool isBad(const WorkerState &state, const FleetHealth &fleet, std::uint64_t leastFailures)
{
    if (state.recentFailures < leastFailures) {
        return false;
    }
    const double rate = static_cast<double>(state.recentFailures) / static_cast<double>(state.recentEnds);
    const auto otherEnds = fleet.ends - state.recentEnds;
    const auto otherFailures = fleet.failures - state.recentFailures;
    const double others = otherEnds > 0 ? static_cast<double>(otherFailures) / static_cast<double>(otherEnds) : 0.0;
    return rate >= leastBadRate && rate >= badRateRatio * others;
}

bool hasProvedItself(const WorkerState &state)
{
    return state.service == WorkerService::SetAside && state.recentEnds >= state.recentFailures + probesToPass;
}

} // namespace

std::vector<WorkerEvidence> collectEvidence(const Tables &tables)
{
    std::vector<WorkerEvidence> evidence(tables.workers.capacity());
    tables.jobs.forEach([&](JobRef ref) {
        const auto &job = tables.jobs.get<JobState>(ref);
        bool isJudged = false;
        for (const auto it : job.tasks) {
            const auto &task = tables.tasks.get<TaskState>(it);
            if (!tables.workers.contains(task.lastFailedOn)) {
                continue;
            }
            if (!isJudged && failsEverywhere(tables, job)) {
                return;
            }
            isJudged = true;
            ++evidence[task.lastFailedOn.index].failedTasks;
        }
    });
    return evidence;
}

void judgeWorkers(Node &node, const TickTime &time)
{
    if (time.now - node.scheduling.healthJudgedAt < healthInterval) {
        return;
    }
    node.scheduling.healthJudgedAt = time.now;
    const auto &tables = node.tables;
    auto fleet = fleetHealth(tables);
    const auto evidence = collectEvidence(tables);
    tables.workers.forEach([&](WorkerRef it) {
        const auto &state = tables.workers.get<WorkerState>(it);
        if (hasProvedItself(state) && ownsWorker(node, it, time)) {
            propose(node, SetWorkerService{it, WorkerService::Live}, time);
            return;
        }
        const bool mayAdd = (fleet.setAside + 1) * setAsidePart <= fleet.workers;
        if (state.service == WorkerService::Live && mayAdd && evidence[it.index].failedTasks >= leastEvidence
            && isBad(state, fleet, node.settings.setAsideFailures) && ownsWorker(node, it, time)) {
            ++fleet.setAside;
            propose(node, SetWorkerService{it, WorkerService::SetAside}, time);
        }
    });
}

} // namespace flamingotally
