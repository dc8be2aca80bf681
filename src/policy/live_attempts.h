/** @file live_attempts.h Live attempts by worker during one plan, and the choice of attempts to preempt. */
#pragma once

#include "policy/capacity.h"

#include <absl/container/flat_hash_set.h>

#include <optional>

namespace flamingotally
{

using AttemptNumberSet = absl::flat_hash_set<AttemptNumber>;

/** What a plan needs to know of a live attempt. */
struct LiveAttempt {
    AttemptNumber number = 0;
    std::uint32_t worker = 0; ///< Index of its worker.
    TeamRef team;
    Urgency urgency = Urgency::Normal;
    Resources resources;
    LogTime placedAt{};
    bool canCheckpoint = false; ///< Whether it can be stopped after saving a checkpoint.
    bool isStopping = false; ///< Whether its stop is ordered, proposed or planned.
    bool runsForever = false; ///< Whether it belongs to a service, so that it never ends by itself.
};

/** All live attempts, sorted by worker. */
struct LiveAttemptTable {
    std::vector<LiveAttempt> rows;
    std::vector<std::uint32_t> firstRow; ///< By worker: index of the worker's first row. One more entry marks the end.
    std::vector<Resources> attainable; ///< By worker: free capacity once all attempts except services have ended.
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

/** Time after its placement from which an attempt may be preempted for work of another team that is not urgent. */
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
 * @return The attempts, or nothing if the work would not fit on any worker even after all permitted stops. No attempts
 * if the work fits into the free and releasing capacity of a worker.
 */
std::optional<StopSet> chooseStops(const LiveAttemptTable &attempts,
                                   const CapacityTable &capacities,
                                   const TeamUseTable &teams,
                                   const CapacityClaim &claim,
                                   LogTime now);

} // namespace flamingotally
