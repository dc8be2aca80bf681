/** @file placement_policy.h On which worker a task is placed. */
#pragma once

#include "policy/capacity.h"
#include "policy/waiting.h"

#include <concepts>
#include <limits>
#include <optional>

namespace flamingotally
{

/** How many tasks of a job stand where, for jobs that are spread. */
struct SpreadCounts {
    std::vector<std::uint32_t> byDomain;
    std::vector<std::uint32_t> byRack;
    std::vector<std::uint32_t> byWorker;

    /** Counts one more task on a worker. */
    void add(const RoomTable &capacities, std::size_t row);
};

/** What placement sees of a task. */
struct TaskNeed {
    Resources amount;
    Spread spread = Spread::None;
    const SpreadCounts *counts = nullptr; ///< Set when the job is spread.
    WorkerRef avoid; ///< Worker of the last failed attempt.
    bool mayBorrow = false; ///< May use the room that accelerator work needs: it is short, or can be preempted.
    bool mayProbe = false; ///< May go to a worker that has to prove itself.
    std::uint64_t seed = 0; ///< For policies that choose at random.
};

constexpr double refusedScore = std::numeric_limits<double>::infinity();

/** Gives each worker with room a score; the lowest is taken. */
template<typename T>
concept PlacementPolicy = requires(const RoomTable &capacities, std::size_t row, const TaskNeed &need)
{
    {
        T::score(capacities, row, need)
        } -> std::same_as<double>;
    {
        T::takesFirst
        } -> std::convertible_to<bool>; // Whether the first worker with room is as good as any.
};

/** Tightest fit; keeps accelerator workers for accelerator work; spreads what asks for it. */
struct BestFit {
    static constexpr bool takesFirst = false;
    static constexpr double acceleratorPenalty = 10.0;
    static constexpr double workerPenalty = 1e3;
    static constexpr double rackPenalty = 1e5;
    static constexpr double domainPenalty = 1e8;
    static constexpr double avoidPenalty = 1e12;

    /** Processors and memory that go with each free accelerator, as a part of the worker's own proportion. */
    static constexpr double keptPart = 0.5;

    static double score(const RoomTable &capacities, std::size_t row, const TaskNeed &need)
    {
        const Resources left = capacities.free[row] - need.amount;
        double score = static_cast<double>(left.cpuMilli) * capacities.perCpu[row]
            + static_cast<double>(left.memoryMb) * capacities.perMemory[row];
        if (need.amount.accelerators == 0 && capacities.total[row].accelerators > 0) {
            if (!need.mayBorrow && !keepsForAccelerators(capacities, row, left)) {
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
    static double spreadPenalty(const RoomTable &capacities, std::size_t row, const TaskNeed &need);

    /** Tells whether a worker's free accelerators keep enough of its processors and memory beside them. */
    static bool keepsForAccelerators(const RoomTable &capacities, std::size_t row, const Resources &left);
};

/** The first worker with room. */
struct FirstFit {
    static constexpr bool takesFirst = true;

    static double score(const RoomTable & /*rooms*/, std::size_t /*row*/, const TaskNeed & /*need*/)
    {
        return 0.0;
    }
};

/** Any worker with room. The choice is a hash, so that all daemons make the same. */
struct RandomFit {
    static constexpr bool takesFirst = false;

    static double score(const RoomTable &capacities, std::size_t row, const TaskNeed &need);
};

static_assert(PlacementPolicy<BestFit>);
static_assert(PlacementPolicy<FirstFit>);
static_assert(PlacementPolicy<RandomFit>);

/** Tells whether a plan may put a task on a worker, room aside. */
inline bool mayUseRow(RowUse use, const TaskNeed &need)
{
    return use == RowUse::Open || (use == RowUse::Probe && need.mayProbe);
}

/**
 * Chooses a worker.
 * @param rooms The workers.
 * @param need The task.
 * @return Row of the worker, or nothing when none has room.
 */
template<PlacementPolicy PolicyT>
std::optional<std::size_t> pickRow(const RoomTable &capacities, const TaskNeed &need)
{
    std::optional<std::size_t> best;
    double bestScore = refusedScore;
    for (std::size_t n = 0; n < capacities.size(); ++n) {
        if (!need.amount.fitsInto(capacities.free[n]) || !mayUseRow(capacities.use[n], need)) {
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
