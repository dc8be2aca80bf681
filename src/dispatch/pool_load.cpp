#include "dispatch/pool_load_func.h"

#include "dispatch/objective_func.h"
#include "dispatch/work_func.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Finished tasks below which the ratio of estimated to actual times says little about the pool. */
constexpr std::uint32_t minTasksForSpeed = 16;
constexpr Milliseconds minWindow{500}; ///< A shorter measurement depends on single runs.

} // namespace

PoolRef poolOf(PoolLoads &loads, const std::string &name)
{
    const auto [it, isNew] = loads.byName.try_emplace(name);
    if (isNew) {
        it->second = loads.table.insert({name}, {}, {});
    }
    return it->second;
}

void recordDrain(Entry &entry, RunRef run, const TickTime &time)
{
    auto &work = entry.work;
    const auto task = work.runs.get<RunIdentity>(run).task;
    const auto &state = work.tasks.get<TaskState>(task);
    const auto group = work.tasks.get<TaskIdentity>(task).group;
    const auto &step = stepOf(entry, group);
    // a task that resumed from a checkpoint has done an unknown part of its work before
    if (state.phase == TaskPhase::Done || step.endless || !state.checkpoint.empty()) {
        return;
    }
    const auto tasks = step.gang ? step.count : 1;
    const double cores = coresOf(demandOf(step)) * tasks;
    const auto elapsed = Milliseconds(time.now - work.runs.get<RunState>(run).placedAt);
    auto &loads = work.poolLoads;
    auto &drain = loads.table.get<PoolDrain>(poolOf(loads, policyOf(entry, group).pool));
    auto &period = drain.periods[drain.current];
    if (period.beganAt == MonotonicTime{}) {
        period.beganAt = time.now;
    }
    period.work += cores * static_cast<double>(step.runEstimate.count());
    period.coreTime += cores * static_cast<double>(elapsed.count());
    period.done += tasks;
}

double coresInUse(const Entry &entry, const std::string &pool)
{
    double cores = 0;
    entry.workers.table.forEach([&](WorkerRef worker) {
        if (entry.workers.table.get<WorkerIdentity>(worker).pool == pool) {
            const auto &load = entry.workers.table.get<WorkerLoad>(worker);
            cores += coresOf(load.used - load.usedByEndless);
        }
    });
    return cores;
}

double drainRateOf(const PoolDrain &drain, double cores, MonotonicTime now)
{
    DrainPeriod sum;
    sum.beganAt = now;
    for (const auto &it : drain.periods) {
        if (it.beganAt != MonotonicTime{}) {
            sum.beganAt = std::min(sum.beganAt, it.beganAt);
            sum.work += it.work;
            sum.coreTime += it.coreTime;
            sum.done += it.done;
        }
    }
    const auto window = Milliseconds(now - sum.beganAt);
    const double speed = sum.done >= minTasksForSpeed && sum.coreTime > 0 ? sum.work / sum.coreTime : 1;
    const double ended = window >= minWindow ? sum.work / static_cast<double>(window.count()) : 0;
    return std::max(ended, cores * speed);
}

} // namespace flamingotally::dispatch
