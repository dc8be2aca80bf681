#include "systems/worker_health.h"

#include "node_func.h"

#include <absl/container/flat_hash_set.h>

namespace flamingotally
{

namespace
{

constexpr Milliseconds healthInterval{2'000};

/** Minimum failure rate of a worker that may be set aside, from 0 to 1. */
constexpr double minFailureRate = 0.5;

/** Minimum ratio of the failure rate of a worker that may be set aside to that of all other workers together. */
constexpr double minFailureRateRatio = 3.0;

/**
 * Minimum number of tasks that last failed on a worker that may be set aside. Jobs that fail everywhere do not count.
 */
constexpr std::uint32_t minFailedTasks = 3;

/** At most one in this many workers may be set aside. */
constexpr std::size_t setAsideDivisor = 5;

/** A job fails everywhere if its tasks last failed on at least this many workers, and no task has succeeded. */
constexpr std::size_t minFailingWorkers = 3;

/** A job fails everywhere if one of its tasks has failed at least this many times, and no task has succeeded. */
constexpr std::uint32_t minTaskFailures = 3;

/** Number of probes that must succeed before a worker that was set aside returns to service. */
constexpr std::uint32_t minPassedProbes = 2;

/** Sums of the task counts of all workers, and the number of workers. */
struct FleetHealth {
    std::uint64_t ends = 0;
    std::uint64_t failures = 0;
    std::size_t workers = 0;
    std::size_t setAside = 0;
};

FleetHealth sumFleetHealth(const Tables &tables)
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
        if (task.failures >= minTaskFailures) {
            return true;
        }
        if (task.lastFailedOn.isSet()) {
            workers.insert(task.lastFailedOn.index);
        }
    }
    return workers.size() >= minFailingWorkers;
}

bool isFailureOutlier(const WorkerState &state, const FleetHealth &fleet, std::uint64_t minFailures)
{
    if (state.recentFailures < minFailures) {
        return false;
    }
    const double rate = static_cast<double>(state.recentFailures) / static_cast<double>(state.recentEnds);
    const auto otherEnds = fleet.ends - state.recentEnds;
    const auto otherFailures = fleet.failures - state.recentFailures;
    const double otherRate = otherEnds > 0 ? static_cast<double>(otherFailures) / static_cast<double>(otherEnds) : 0.0;
    return rate >= minFailureRate && rate >= minFailureRateRatio * otherRate;
}

bool hasPassedProbes(const WorkerState &state)
{
    return state.service == WorkerService::SetAside && state.recentEnds >= state.recentFailures + minPassedProbes;
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

void updateWorkerHealth(Node &node, const TickTime &time)
{
    if (time.now - node.scheduling.lastHealthCheckAt < healthInterval) {
        return;
    }
    node.scheduling.lastHealthCheckAt = time.now;
    const auto &tables = node.tables;
    auto fleet = sumFleetHealth(tables);
    const auto evidence = collectEvidence(tables);
    tables.workers.forEach([&](WorkerRef it) {
        const auto &state = tables.workers.get<WorkerState>(it);
        if (hasPassedProbes(state) && ownsWorker(node, it, time)) {
            propose(node, SetWorkerService{it, WorkerService::Live}, time);
            return;
        }
        const bool maySetAside = (fleet.setAside + 1) * setAsideDivisor <= fleet.workers;
        if (state.service == WorkerService::Live && maySetAside && evidence[it.index].failedTasks >= minFailedTasks
            && isFailureOutlier(state, fleet, node.settings.setAsideFailures) && ownsWorker(node, it, time)) {
            ++fleet.setAside;
            propose(node, SetWorkerService{it, WorkerService::SetAside}, time);
        }
    });
}

} // namespace flamingotally
