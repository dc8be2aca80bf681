#include "policy/capacity.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

constexpr std::uint32_t maxProbeDoublings = 10; ///< Maximum number of times that the pause before a probe doubles.

double reciprocal(std::int64_t amount)
{
    return amount > 0 ? 1.0 / static_cast<double>(amount) : 0.0;
}

/** Returns the eligibility of a worker by its own state and that of its failure domain. */
WorkerEligibility eligibilityOf(const Tables &tables, WorkerRef worker, LogTime now)
{
    const auto &state = tables.workers.get<WorkerState>(worker);
    const auto domain = tables.workers.get<WorkerLocation>(worker).domain;
    if (!tables.domains.contains(domain) || tables.domains.get<DomainState>(domain).service != DomainService::In) {
        return WorkerEligibility::Closed;
    }
    if (state.service == WorkerService::SetAside) {
        const auto pause = probePause * (std::int64_t{1} << std::min(state.recentFailures, maxProbeDoublings));
        return state.changedAt + pause <= now && tables.workers.get<WorkerCapacity>(worker).attempts == 0
            ? WorkerEligibility::Probe
            : WorkerEligibility::Closed;
    }
    return state.service == WorkerService::Live ? WorkerEligibility::Open : WorkerEligibility::Closed;
}

/**
 * Returns the fraction of each worker's capacity that may be used in a failure domain. The fraction rises from 0 to 1
 * in the time after the domain has returned to service.
 */
double rampFraction(const DomainState &state, LogTime now)
{
    const auto since = now - state.changedAt;
    if (state.version == 0 || since >= domainRamp) {
        return 1.0;
    }
    const double part = static_cast<double>(since.count()) / static_cast<double>(domainRamp.count());
    return std::clamp(part, 0.0, 1.0);
}

/** Returns the free capacity of a worker if only a fraction of the total capacity may be used. */
Resources freeWithinFraction(const WorkerCapacity &capacity, double fraction)
{
    auto cut = [fraction](std::int64_t total, std::int64_t used) {
        const auto usable = static_cast<std::int64_t>(static_cast<double>(total) * fraction);
        return std::clamp<std::int64_t>(usable - used, 0, total - used);
    };
    return {cut(capacity.total.cpuMilli, capacity.used.cpuMilli),
            cut(capacity.total.memoryMb, capacity.used.memoryMb),
            cut(capacity.total.accelerators, capacity.used.accelerators)};
}

void resizeCapacities(CapacityTable &capacities, std::size_t size)
{
    capacities.free.assign(size, Resources{});
    capacities.releasing.assign(size, Resources{});
    capacities.total.assign(size, Resources{});
    capacities.eligibility.assign(size, WorkerEligibility::Closed);
    capacities.workers.assign(size, WorkerRef{});
    capacities.domains.assign(size, 0);
    capacities.racks.assign(size, 0);
    capacities.perCpu.assign(size, 0.0);
    capacities.perMemory.assign(size, 0.0);
    capacities.capacity = {};
}

} // namespace

void fillCapacities(CapacityTable &capacities, const Tables &tables, LogTime now)
{
    resizeCapacities(capacities, tables.workers.capacity());
    tables.workers.forEach([&](WorkerRef worker) {
        const auto n = worker.index;
        const auto &capacity = tables.workers.get<WorkerCapacity>(worker);
        const auto &place = tables.workers.get<WorkerLocation>(worker);
        capacities.workers[n] = worker;
        capacities.eligibility[n] = eligibilityOf(tables, worker, now);
        capacities.domains[n] = place.domain.index;
        capacities.racks[n] = place.rack.index;
        if (capacities.eligibility[n] == WorkerEligibility::Closed) {
            return;
        }
        const double ramp = rampFraction(tables.domains.get<DomainState>(place.domain), now);
        capacities.free[n] = ramp < 1.0 ? freeWithinFraction(capacity, ramp) : capacity.free();
        capacities.total[n] = capacity.total;
        capacities.perCpu[n] = reciprocal(capacity.total.cpuMilli);
        capacities.perMemory[n] = reciprocal(capacity.total.memoryMb);
        capacities.capacity += capacity.total;
    });
}

void fillTeamUse(TeamUseTable &teams, const Tables &tables, const Resources &capacity)
{
    teams.use.assign(tables.teams.capacity(), Resources{});
    teams.releasing.assign(tables.teams.capacity(), Resources{});
    teams.perShare.assign(tables.teams.capacity(), 1.0);
    teams.capacity = capacity;
    tables.teams.forEach([&](TeamRef team) {
        teams.use[team.index] = tables.teams.get<TeamUsage>(team).running;
        teams.perShare[team.index] = reciprocal(std::max<std::int64_t>(1, tables.teams.get<TeamPolicy>(team).share));
    });
}

double dominantFraction(const Resources &amount, const Resources &whole)
{
    auto part = [](std::int64_t some, std::int64_t all) {
        return all > 0 ? static_cast<double>(some) / static_cast<double>(all) : 0.0;
    };
    return std::max({part(amount.cpuMilli, whole.cpuMilli),
                     part(amount.memoryMb, whole.memoryMb),
                     part(amount.accelerators, whole.accelerators)});
}

double levelOf(const TeamUseTable &teams, TeamRef team, const Resources &more)
{
    const Resources use = teams.use[team.index] - teams.releasing[team.index] + more;
    return dominantFraction(use, teams.capacity) * teams.perShare[team.index];
}

bool withinLimit(const Tables &tables, const TeamUseTable &teams, TeamRef team, const Resources &more)
{
    return (teams.use[team.index] + more).fitsInto(tables.teams.get<TeamPolicy>(team).limit);
}

Resources elementwiseMin(const Resources &one, const Resources &other)
{
    return {std::min(one.cpuMilli, other.cpuMilli),
            std::min(one.memoryMb, other.memoryMb),
            std::min(one.accelerators, other.accelerators)};
}

void allocate(CapacityTable &capacities, TeamUseTable &teams, std::size_t row, TeamRef team, const Resources &amount)
{
    capacities.free[row] -= amount;
    teams.use[team.index] += amount;
}

} // namespace flamingotally
