#include "systems/worker_health.h"

#include "node_func.h"

#include <absl/container/flat_hash_set.h>

namespace flamingotally
{

namespace
{

constexpr Milliseconds healthCheckInterval{2'000};

/** A worker is set aside only if its failure rate is at least this high, from 0 to 1. */
constexpr double minFailureRate = 0.5;

/** A worker is set aside only if its failure rate is at least this multiple of the other workers' common rate. */
constexpr double minFailureRateRatio = 3.0;

/**
 * A worker is set aside only if at least this many tasks had their last failure on it. Tasks of jobs that fail
 * everywhere are not counted.
 */
constexpr std::uint32_t minFailedTasks = 3;

/** At most one in this many workers is set aside at the same time. */
constexpr std::size_t setAsideDivisor = 5;

/** Number of different workers with the last failures of a job's tasks; see failsEverywhere(). */
constexpr std::size_t minFailingWorkers = 3;

/** Number of failures of a single task; see failsEverywhere(). */
constexpr std::uint32_t minTaskFailures = 3;

/**
 * Number of probes that must succeed before a worker that was set aside returns to service. A probe is an attempt that
 * is placed on a worker that is set aside.
 */
constexpr std::uint32_t minPassedProbes = 2;

/** Sums of the recent ends and recent failures of attempts on all workers, and numbers of workers. */
struct FleetHealth {
    std::uint64_t ends = 0;
    std::uint64_t failures = 0;
    std::size_t workers = 0;
    std::size_t setAside = 0; ///< Number of workers that are set aside.
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

/**
 * Returns true if the failures of a job are to be blamed on the job and not on workers: none of its tasks has
 * succeeded, and either one task has failed at least minTaskFailures times, or the last failures of its tasks were on
 * at least minFailingWorkers different workers.
 */
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

/**
 * Returns true if a worker has at least the given number of recent failures, and its failure rate reaches both
 * minFailureRate and minFailureRateRatio times the rate of all other workers together.
 */
bool isFailureOutlier(const WorkerState &state, const FleetHealth &fleet, std::uint64_t minRecentFailures)
{
    if (state.recentFailures < minRecentFailures) {
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

std::vector<WorkerFailures> countFailedTasks(const Tables &tables)
{
    std::vector<WorkerFailures> failures(tables.workers.capacity());
    tables.jobs.forEach([&](JobRef ref) {
        const auto &job = tables.jobs.get<JobState>(ref);
        bool isChecked = false; // failsEverywhere() is called at most once for each job
        for (const auto it : job.tasks) {
            const auto &task = tables.tasks.get<TaskState>(it);
            if (!tables.workers.contains(task.lastFailedOn)) {
                continue;
            }
            if (!isChecked && failsEverywhere(tables, job)) {
                return;
            }
            isChecked = true;
            ++failures[task.lastFailedOn.index].failedTasks;
        }
    });
    return failures;
}

void updateWorkerHealth(Node &node, const TickTime &time)
{
    if (time.now - node.scheduling.lastHealthCheckAt < healthCheckInterval) {
        return;
    }
    node.scheduling.lastHealthCheckAt = time.now;
    const auto &tables = node.tables;
    auto fleet = sumFleetHealth(tables);
    const auto failures = countFailedTasks(tables);
    tables.workers.forEach([&](WorkerRef it) {
        const auto &state = tables.workers.get<WorkerState>(it);
        if (hasPassedProbes(state) && ownsWorker(node, it, time)) {
            propose(node, SetWorkerService{it, WorkerService::Live}, time);
            return;
        }
        const bool isBelowLimit = (fleet.setAside + 1) * setAsideDivisor <= fleet.workers;
        if (state.service == WorkerService::Live && isBelowLimit && failures[it.index].failedTasks >= minFailedTasks
            && isFailureOutlier(state, fleet, node.settings.setAsideFailures) && ownsWorker(node, it, time)) {
            ++fleet.setAside;
            propose(node, SetWorkerService{it, WorkerService::SetAside}, time);
        }
    });
}

} // namespace flamingotally
