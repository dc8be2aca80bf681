/** @file capacity.h Workers and teams as one plan sees them: what is free shrinks as the plan gives it away. */
#pragma once

#include "tables.h"

namespace flamingotally
{

/** Time over which a returned failure domain is filled again, so that its workers are not all started on at once. */
constexpr Milliseconds domainRamp{4'000};

/** Least pause before a worker that was set aside is given one task to prove itself; doubles with each failure. */
constexpr Milliseconds probePause{30'000};

/** Whether a plan may use a worker. */
enum class RowUse : std::uint8_t {
    Closed, ///< Not there, leaving, set aside, or in a domain out of service.
    Open,
    Probe, ///< Set aside, and due for one task.
    End,
};

/** One row a worker, at the place it has in the worker table. Columns are scanned, so they lie apart. */
struct RoomTable {
    std::vector<Resources> free; ///< Neither taken nor given away by the plan.
    std::vector<Resources> soon; ///< Held by attempts that are being stopped.
    std::vector<Resources> total;
    std::vector<RowUse> use;
    std::vector<WorkerRef> workers;
    std::vector<std::uint32_t> domains; ///< Index of the failure domain.
    std::vector<std::uint32_t> racks; ///< Index of the rack.
    std::vector<double> perCpu; ///< One over the worker's processors.
    std::vector<double> perMemory; ///< One over the worker's memory.
    Resources capacity; ///< Sum over the workers that are in service.

    std::size_t size() const
    {
        return free.size();
    }
};

/** One row a team, at the place it has in the team table. */
struct TeamUseTable {
    std::vector<Resources> use; ///< What runs, and what the plan adds. Counts against the limit.
    std::vector<Resources> leaving; ///< Part of it that is being stopped. Does not count in the level.
    std::vector<double> perShare; ///< One over the team's weight.
    Resources capacity; ///< Of the cell.
};

/**
 * Fills the rows from the replicated tables.
 * @param rooms Rows to fill; their memory is used again.
 * @param tables The replicated tables.
 * @param now Estimate of the log's clock.
 */
void fillCapacities(RoomTable &capacities, const Tables &tables, LogTime now);

/** Fills the rows of teams from the replicated tables. */
void fillTeamUse(TeamUseTable &teams, const Tables &tables, const Resources &capacity);

/** Largest of the three parts that an amount takes of a whole. */
double dominantPart(const Resources &amount, const Resources &whole);

/** Dominant part of the cell that a team would have with some more, over its weight. Lower levels go first. */
double levelOf(const TeamUseTable &teams, TeamRef team, const Resources &more = {});

/** Tells whether a team may run some more within its limit. */
bool withinLimit(const Tables &tables, const TeamUseTable &teams, TeamRef team, const Resources &more);

/** The smaller of two amounts, each part on its own. */
Resources smallerOf(const Resources &one, const Resources &other);

/** Gives room of a worker away to a team. */
void takeRoom(RoomTable &capacities, TeamUseTable &teams, std::size_t row, TeamRef team, const Resources &amount);

} // namespace flamingotally
