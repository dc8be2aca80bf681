/** @file placement_policy.h Policies that choose the worker for a task. */
#pragma once

#include "policy/capacity.h"
#include "policy/waiting.h"

#include <concepts>
#include <limits>
#include <optional>

namespace flamingotally
{

/** Numbers of placed tasks of a job by location, for jobs that are spread. */
struct SpreadCounts {
    std::vector<std::uint32_t> byDomain;
    std::vector<std::uint32_t> byRack;
    std::vector<std::uint32_t> byWorker;

    /** Counts one more task on a worker. */
    void add(const CapacityTable &capacities, std::size_t row);
};

/** Requirements of a task for its placement. */
struct TaskNeed {
    Resources amount;
    Spread spread = Spread::None;
    const SpreadCounts *counts = nullptr; ///< Placed tasks of the job; null if the job is not spread.
    WorkerRef avoid; ///< Worker on which the task last failed; BestFit chooses it only if the task fits on no other.
    bool mayBorrow = false; ///< Whether it may use resources reserved for accelerator work: it is short or preemptible.
    bool mayProbe = false; ///< Whether it may be placed as a probe on a worker that was set aside.
    std::uint64_t seed = 0; ///< For policies that choose at random.
};

/** Score of a worker that a task must not be placed on. */
constexpr double refusedScore = std::numeric_limits<double>::infinity();

/** Scores each worker on which a task fits; the worker with the lowest score is chosen. */
template<typename T>
concept PlacementPolicy = requires(const CapacityTable &capacities, std::size_t row, const TaskNeed &need)
{
    {
        T::score(capacities, row, need)
        } -> std::same_as<double>;
    {
        T::takesFirst
        } -> std::convertible_to<bool>; // If true, the first worker on which the task fits is chosen without scoring.
};

/**
 * Chooses the tightest fit, prefers workers without accelerators for tasks that need none, and spreads jobs that
 * request it. Penalties are added to the score of a worker.
 */
struct BestFit {
    static constexpr bool takesFirst = false;
    static constexpr double acceleratorPenalty = 10.0; ///< For accelerators that the task does not need.
    static constexpr double workerPenalty = 1e3; ///< For each task of the job on the same worker.
    static constexpr double rackPenalty = 1e5; ///< For each task of the job in the same rack.
    static constexpr double domainPenalty = 1e8; ///< For each task of the job in the same failure domain.
    static constexpr double avoidPenalty = 1e12; ///< For the worker on which the task last failed.

    /** Fraction of a worker's processors and memory per accelerator that is reserved for each free accelerator. */
    static constexpr double reservedFraction = 0.5;

    static double score(const CapacityTable &capacities, std::size_t row, const TaskNeed &need)
    {
        const Resources left = capacities.free[row] - need.amount;
        double score = static_cast<double>(left.cpuMilli) * capacities.perCpu[row]
            + static_cast<double>(left.memoryMb) * capacities.perMemory[row];
        if (need.amount.accelerators == 0 && capacities.total[row].accelerators > 0) {
            if (!need.mayBorrow && !leavesEnoughForAccelerators(capacities, row, left)) {
                return refusedScore;
            }
            score += acceleratorPenalty;
        }
        if (need.counts != nullptr) {
            score += spreadPenalty(capacities, row, need);
        }
        return need.avoid == capacities.workers[row] ? score + avoidPenalty : score;
    }

private:
    static double spreadPenalty(const CapacityTable &capacities, std::size_t row, const TaskNeed &need);

    /**
     * Returns true if a worker with `left` free resources has enough processors and memory for its free accelerators.
     */
    static bool leavesEnoughForAccelerators(const CapacityTable &capacities, std::size_t row, const Resources &left);
};

/** Chooses the first worker on which the task fits. */
struct FirstFit {
    static constexpr bool takesFirst = true;

    static double score(const CapacityTable & /*capacities*/, std::size_t /*row*/, const TaskNeed & /*need*/)
    {
        return 0.0;
    }
};

/** Chooses a random worker on which the task fits. The choice is a hash, so that all daemons make the same one. */
struct RandomFit {
    static constexpr bool takesFirst = false;

    static double score(const CapacityTable &capacities, std::size_t row, const TaskNeed &need);
};

static_assert(PlacementPolicy<BestFit>);
static_assert(PlacementPolicy<FirstFit>);
static_assert(PlacementPolicy<RandomFit>);

/** Returns true if a task may be placed on a worker of some eligibility, regardless of free capacity. */
inline bool isEligible(WorkerEligibility eligibility, const TaskNeed &need)
{
    return eligibility == WorkerEligibility::Open || (eligibility == WorkerEligibility::Probe && need.mayProbe);
}

/**
 * Chooses a worker for a task.
 * @param capacities The workers.
 * @param need Need of the task.
 * @return Index of the worker, or nothing if the task fits on no eligible worker or the policy refuses all of them.
 */
template<PlacementPolicy PolicyT>
std::optional<std::size_t> pickRow(const CapacityTable &capacities, const TaskNeed &need)
{
    std::optional<std::size_t> best;
    double bestScore = refusedScore;
    for (std::size_t n = 0; n < capacities.size(); ++n) {
        if (!need.amount.fitsInto(capacities.free[n]) || !isEligible(capacities.eligibility[n], need)) {
            continue;
        }
        if constexpr (PolicyT::takesFirst) {
            return n;
        }
        if (const double score = PolicyT::score(capacities, n, need); score < bestScore) {
            bestScore = score;
            best = n;
        }
    }
    return best;
}

} // namespace flamingotally
