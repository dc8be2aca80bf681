/** @file capacity.h Capacity of workers and use of teams during one plan, updated as the plan allocates resources. */
#pragma once

#include "tables.h"

namespace flamingotally
{

/** Time over which the usable capacity of a returned failure domain grows to all of it, to avoid a burst of starts. */
constexpr Milliseconds domainRamp{4'000};

/** Pause before a worker that was set aside gets one task as a probe. The pause doubles with each recent failure. */
constexpr Milliseconds probePause{30'000};

/** Eligibility of a worker for placements by a plan. */
enum class WorkerEligibility : std::uint8_t {
    Closed, ///< Missing, leaving, set aside, or in a failure domain that is out of service.
    Open,
    Probe, ///< Set aside, and due for one task as a probe.
    End,
};

/** Workers by worker index. Each column is a vector of its own, since plans scan single columns. */
struct CapacityTable {
    std::vector<Resources> free; ///< Neither in use nor allocated by the plan.
    std::vector<Resources> releasing; ///< Used by attempts that are being stopped.
    std::vector<Resources> total;
    std::vector<WorkerEligibility> eligibility;
    std::vector<WorkerRef> workers;
    std::vector<std::uint32_t> domains; ///< Index of the failure domain.
    std::vector<std::uint32_t> racks; ///< Index of the rack.
    std::vector<double> perCpu; ///< Reciprocal of the worker's total processors; zero if it has none.
    std::vector<double> perMemory; ///< Reciprocal of the worker's total memory; zero if it has none.
    Resources capacity; ///< Sum over the workers that are in service.

    std::size_t size() const
    {
        return free.size();
    }
};

/** Teams by team index. */
struct TeamUseTable {
    std::vector<Resources> use; ///< Used by live attempts or allocated by the plan. Counts against the team's limit.
    std::vector<Resources> releasing; ///< Part of `use`, of attempts being stopped. Does not count in the level.
    std::vector<double> perShare; ///< Reciprocal of the team's share.
    Resources capacity; ///< Total capacity of the workers that are in service.
};

/**
 * Fills the capacity of all workers from the replicated tables.
 * @param capacities Table to fill; its memory is reused.
 * @param tables The replicated tables.
 * @param now Estimate of the log's clock.
 */
void fillCapacities(CapacityTable &capacities, const Tables &tables, LogTime now);

/**
 * Fills the use of all teams from the replicated tables.
 * @param teams Table to fill; its memory is reused.
 * @param tables The replicated tables.
 * @param capacity Total capacity of the workers that are in service.
 */
void fillTeamUse(TeamUseTable &teams, const Tables &tables, const Resources &capacity);

/** Returns the largest fraction that an amount takes of a whole: of its processors, its memory or its accelerators. */
double dominantFraction(const Resources &amount, const Resources &whole);

/**
 * Returns the level of a team, by which teams are served, lowest first: the dominant fraction of the cell's capacity
 * that the team uses, without what is being released, divided by the share of the team.
 * @param teams The teams.
 * @param team The team.
 * @param more Resources that are counted in addition to the use of the team.
 */
double levelOf(const TeamUseTable &teams, TeamRef team, const Resources &more = {});

/** Returns true if a team stays within its limit when it uses some more resources. */
bool withinLimit(const Tables &tables, const TeamUseTable &teams, TeamRef team, const Resources &more);

/** Returns the minimum of two amounts for each resource separately. */
Resources elementwiseMin(const Resources &one, const Resources &other);

/** Allocates free capacity of the worker with index `row` to a team. */
void allocate(CapacityTable &capacities, TeamUseTable &teams, std::size_t row, TeamRef team, const Resources &amount);

} // namespace flamingotally
