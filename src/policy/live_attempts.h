/** @file live_attempts.h Live attempts by worker, as one plan sees them, and what stopping some of them would give. */
#pragma once

#include "policy/capacity.h"

#include <absl/container/flat_hash_set.h>

#include <optional>

namespace flamingotally
{

using AttemptNumberSet = absl::flat_hash_set<AttemptNumber>;

/** What a plan sees of a live attempt. */
struct LiveAttempt {
    AttemptNumber number = 0;
    std::uint32_t worker = 0; ///< Index of its worker.
    TeamRef team;
    Urgency urgency = Urgency::Normal;
    Resources held;
    LogTime placedAt{};
    bool checkpoint = false; ///< May be stopped after saving its progress.
    bool stopping = false; ///< Is being stopped, or about to be.
    bool pinned = false; ///< Runs without end, so its room never comes free by itself.
};

/** All live attempts, those of one worker side by side. */
struct LiveAttemptTable {
    std::vector<LiveAttempt> rows;
    std::vector<std::uint32_t> firstOf; ///< Place of the first row of each worker; one more than there are workers.
    std::vector<Resources> attainable; ///< Room that each worker would have if all ended that ends by itself.
};

/** Work that room is to be made for. */
struct RoomClaim {
    Resources amount;
    TeamRef team;
    Urgency urgency = Urgency::Normal;
};

/** Attempts to stop, all on one worker. */
struct StopSet {
    std::size_t row = 0;
    std::vector<std::uint32_t> attempts; ///< Rows of LiveAttemptTable.
};

/** Least run of an attempt before it may be preempted by share. */
constexpr Milliseconds minRunBeforePreemption{5'000};

/**
 * Fills the rows from the replicated tables, and what is about to come free.
 * @param attempts Rows to fill.
 * @param rooms Its `soon` column is filled.
 * @param teams Its `leaving` column is filled.
 * @param tables The replicated tables.
 * @param stopsInHand Attempts whose stop is proposed and not read back yet.
 */
void fillLiveAttempts(LiveAttemptTable &attempts,
                      RoomTable &capacities,
                      TeamUseTable &teams,
                      const Tables &tables,
                      const AttemptNumberSet &stopsInHand);

/**
 * Chooses attempts to stop for some waiting work: on the worker where the least is lost.
 * @param attempts The live attempts.
 * @param rooms The workers.
 * @param teams What teams have.
 * @param claim The waiting work.
 * @param now Estimate of the log's clock.
 * @return The attempts, or nothing when no worker has enough that may be stopped for this work.
 */
std::optional<StopSet> chooseStops(const LiveAttemptTable &attempts,
                                   const RoomTable &capacities,
                                   const TeamUseTable &teams,
                                   const RoomClaim &claim,
                                   LogTime now);

} // namespace flamingotally
