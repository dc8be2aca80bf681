#include "dispatch/entry_func.h"
#include "dispatch/policy/admission_policy.h"
#include "dispatch/policy/pass_workers.h"
#include "dispatch/policy/team_limit.h"
#include "dispatch/pool_load_func.h"
#include "dispatch/systems/systems.h"
#include "dispatch/work_func.h"

#include <algorithm>
#include <cmath>

namespace flamingotally::dispatch
{

namespace
{

/** Passes run every 200 ms at the latest while groups wait, unless orders to workers are held up. */
constexpr Milliseconds passAgeLimit{500};

/** Waiting work of one priority, while it is summed up. */
struct PrioritySum {
    PriorityLoad load;
    std::map<std::string, std::int64_t> byTeam;
};

/** Waiting work of one pool, while it is summed up. */
struct PoolSum {
    std::optional<Resources> blockedDemand;
    std::map<std::uint32_t, PrioritySum> priorities;
};

/** Returns true if the last placement pass found no worker with capacity for a group's tasks. */
bool isBlocked(const Entry &entry, const std::string &pool, const Resources &demand)
{
    if (!demand.fitsInto(poolInPass(entry, pool).mostFree)) {
        return true;
    }
    return std::ranges::any_of(entry.work.pass.unplaceable, [&](const UnplaceableDemand &it) {
        return it.pool == pool && it.label.empty() && it.demand.fitsInto(demand);
    });
}

/** Returns the work of the waiting tasks of a group whose durations are known. */
std::int64_t waitingWork(const Entry &entry, GroupRef group)
{
    const auto &tasks = entry.work.groups.get<GroupState>(group).tasks;
    const auto n = std::ranges::count_if(tasks, [&](TaskRef it) {
        const auto &state = entry.work.tasks.get<TaskState>(it);
        return state.phase == TaskPhase::Waiting && state.checkpoint.empty();
    });
    return workOf(stepOf(entry, group), static_cast<std::size_t>(n));
}

/** Adds the waiting work of a group to that of its pool, if it is useful and competes for the pool's capacity. */
void addGroup(const Entry &entry, GroupRef group, std::map<std::string, PoolSum> &sums, const TickTime &time)
{
    const auto &step = stepOf(entry, group);
    const auto &identity = entry.work.groups.get<GroupIdentity>(group);
    const auto &occurrence = entry.work.occurrences.get<OccurrenceWork>(identity.occurrence);
    const auto timeliness =
        timelinessOf(occurrence.dueAt, occurrence.objective, occurrence.criticalPaths[identity.step], time.now);
    const bool isCounted = isMeasurable(step) && timeliness != Timeliness::TooLate
        && isWithinTeamLimit(entry, group, step.perTask) && readyTasks(entry, group, time) > 0;
    if (!isCounted) {
        return;
    }
    const auto &policy = policyOf(entry, group);
    auto &pool = sums[policy.pool];
    const auto demand = demandOf(step);
    const bool isSmaller = !pool.blockedDemand || coresOf(demand) < coresOf(*pool.blockedDemand);
    if (isSmaller && isBlocked(entry, policy.pool, demand)) {
        pool.blockedDemand = demand;
    }
    const auto work = waitingWork(entry, group);
    auto &priority = pool.priorities[policy.priority];
    auto &sum = timeliness == Timeliness::InTime ? priority.load.inTime : priority.load.late;
    sum = std::min(sum + work, maxLoad);
    auto &ofTeam = priority.byTeam[entry.jobs.table.get<JobIdentity>(identity.job).team];
    ofTeam = std::min(ofTeam + work, maxLoad);
}

/** Returns the load of a pool in the form in which it is published. */
PoolLoad loadOf(const Entry &entry, const std::string &name, PoolSum &sum, double drain)
{
    PoolLoad load{name, sum.blockedDemand.value_or(Resources{}), 0, {}};
    load.drainMilli = std::llround(std::clamp(drain * milliPerCore, 0.0, static_cast<double>(maxLoad)));
    for (auto &[number, it] : sum.priorities) {
        if (load.priorities.size() < maxPrioritiesInLoad) {
            it.load.priority = number;
            it.load.teams = teamsAboveShare(it.byTeam, entry.config);
            load.priorities.push_back(std::move(it.load));
        }
    }
    return load;
}

/** Begins the next period of a pool, in place of the oldest one. */
void beginPeriod(PoolDrain &drain, const TickTime &time)
{
    drain.current = (drain.current + 1) % PoolDrain::memory;
    drain.periods[drain.current] = {};
    drain.periods[drain.current].beganAt = time.now;
}

/** Measures all pools. */
void measure(Entry &entry, const TickTime &time)
{
    std::map<std::string, PoolSum> sums;
    if (time.now - entry.work.pass.beganAt <= passAgeLimit) {
        for (const auto group : entry.work.waitingGroups) {
            if (entry.work.groups.contains(group)) {
                addGroup(entry, group, sums, time);
            }
        }
    }
    auto &loads = entry.work.poolLoads;
    for (const auto &[name, sum] : sums) {
        poolOf(loads, name);
    }
    loads.table.forEach([&](PoolRef pool) {
        const auto &name = loads.table.get<PoolIdentity>(pool).name;
        auto &drain = loads.table.get<PoolDrain>(pool);
        auto &waiting = loads.table.get<PoolWaiting>(pool);
        const auto it = sums.find(name);
        waiting = {it != sums.end() && it->second.blockedDemand.has_value(), {}};
        if (waiting.isBlocked) {
            const double rate = drainRateOf(drain, coresInUse(entry, name), time.now);
            waiting.load = loadOf(entry, name, it->second, rate);
        }
        beginPeriod(drain, time);
    });
}

/** Prepares the record that is added to the owner's next batch, unless it would be as empty as the last one. */
void publish(Entry &entry)
{
    auto &loads = entry.work.poolLoads;
    PoolLoadRecord record;
    record.token = entry.ownership.token;
    loads.table.forEach([&](PoolRef pool) {
        const auto &waiting = loads.table.get<PoolWaiting>(pool);
        if (waiting.isBlocked && record.pools.size() < maxPoolsInLoad) {
            record.pools.push_back(waiting.load);
        }
    });
    loads.unpublished.reset();
    if (!record.pools.empty() || loads.hasPublishedLoad) {
        loads.unpublished = std::move(record);
    }
}

} // namespace

void poolLoadSystem(Entry &entry, const TickTime &time)
{
    auto &loads = entry.work.poolLoads;
    if (!entry.isOwner()) {
        return;
    }
    if (loads.measureAt == MonotonicTime{}) {
        loads.measureAt = time.now + loadInterval; // a new owner has not polled the workers yet
    }
    if (time.now < loads.measureAt) {
        return;
    }
    loads.measureAt = time.now + loadInterval;
    measure(entry, time);
    publish(entry);
}

} // namespace flamingotally::dispatch
