/** @file live_attempts.h Live attempts by worker during one plan, and the choice of attempts to preempt. */
#pragma once

#include "policy/capacity.h"

#include <absl/container/flat_hash_set.h>

#include <optional>

namespace flamingotally
{

using AttemptNumberSet = absl::flat_hash_set<AttemptNumber>;

/** Data of a live attempt that a plan uses. */
struct LiveAttempt {
    AttemptNumber number = 0;
    std::uint32_t worker = 0; ///< Index of its worker.
    TeamRef team;
    Urgency urgency = Urgency::Normal;
    Resources resources;
    LogTime placedAt{};
    bool checkpoint = false; ///< May be stopped after it has saved a checkpoint.
    bool stopping = false; ///< Is being stopped, or its stop is proposed or planned.
    bool runsForever = false; ///< Belongs to a service, so its capacity is never released by itself.
};

/** All live attempts, sorted by worker. */
struct LiveAttemptTable {
    std::vector<LiveAttempt> rows;
    std::vector<std::uint32_t> firstRow; ///< Index of the first row by worker, with one more entry for the end.
    std::vector<Resources> attainable; ///< By worker: capacity once all attempts except services have ended.
};

/** Waiting work for which capacity is to be released by stops. */
struct CapacityClaim {
    Resources amount;
    TeamRef team;
    Urgency urgency = Urgency::Normal;
};

/** Attempts to stop, all on the same worker. */
struct StopSet {
    std::size_t row = 0; ///< Index of the worker.
    std::vector<std::uint32_t> attempts; ///< Rows of LiveAttemptTable.
};

/** Shortest run time of an attempt before it may be preempted in favour of another team. */
constexpr Milliseconds minRunTimeBeforePreemption{5'000};

/**
 * Fills the live attempts from the replicated tables, and the resources that are about to be released.
 * @param attempts Table to fill.
 * @param capacities The workers, of which the `releasing` column is filled.
 * @param teams The teams, of which the `releasing` column is filled.
 * @param tables The replicated tables.
 * @param proposedStops Attempts whose stop is proposed and not read back yet.
 */
void fillLiveAttempts(LiveAttemptTable &attempts,
                      CapacityTable &capacities,
                      TeamUseTable &teams,
                      const Tables &tables,
                      const AttemptNumberSet &proposedStops);

/**
 * Chooses attempts to stop for some waiting work, on the worker where the stopped attempts use the fewest resources.
 * @param attempts The live attempts.
 * @param capacities The workers.
 * @param teams The use of the teams.
 * @param claim The waiting work.
 * @param now Estimate of the log's clock.
 * @return The attempts, or nothing if the work would not fit on any worker after all permitted stops.
 */
std::optional<StopSet> chooseStops(const LiveAttemptTable &attempts,
                                   const CapacityTable &capacities,
                                   const TeamUseTable &teams,
                                   const CapacityClaim &claim,
                                   LogTime now);

} // namespace flamingotally
