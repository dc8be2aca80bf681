/** @file worker_choice.h Scores by which one of the workers that can run a task is chosen. */
#pragma once

#include "dispatch/entry_base.h"

#include <concepts>

namespace flamingotally::dispatch
{

/** Properties of a worker by which it can be scored for a task. */
struct Candidate {
    Resources capacity;
    Resources freeAfter; ///< Free capacity once the task is placed there.
    bool isNearData = false; ///< The worker is in the rack of the task's data, or no such rack is specified.
    bool isAvoided = false; ///< The task's last failed or stalled run was on this worker.
    bool wouldInterfere = false; ///< The task would put best-effort and latency-bound runs on the same worker.
    bool isReserved = false; ///< The task would use capacity that is reserved for a large one.
    bool hasRecentStart = false; ///< The task is suspected of a crash, and a task has just been placed on the worker.
    std::size_t faults = 0; ///< Faults of runs for which the worker may be to blame.
    std::uint32_t sameGroup = 0; ///< Number of tasks of the group on the worker.
};

/** A way to choose a worker for a task: T::score() returns a score, and the worker with the highest one is chosen. */
template<typename T>
concept WorkerChoice = requires(const Candidate &candidate)
{
    {
        T::score(candidate)
        } -> std::convertible_to<double>;
};

/**
 * Spreads tasks over workers without accelerators, by free processor capacity. Packs tasks on workers with
 * accelerators, so that entire workers stay free for large tasks.
 */
struct FitChoice {
    static double score(const Candidate &it)
    {
        constexpr double avoidedPenalty = 1'000;
        constexpr double recentStartPenalty = 200;
        constexpr double interferencePenalty = 100;
        constexpr double farPenalty = 50;
        constexpr double reservedPenalty = 25;
        constexpr double faultPenalty = 5;
        double score = -faultPenalty * static_cast<double>(it.faults);
        score -= it.isAvoided ? avoidedPenalty : 0;
        score -= it.hasRecentStart ? recentStartPenalty : 0;
        score -= it.wouldInterfere ? interferencePenalty : 0;
        score -= it.isNearData ? 0 : farPenalty;
        score -= it.isReserved ? reservedPenalty : 0;
        const auto part = [](std::int64_t free, std::int64_t all) {
            return all > 0 ? static_cast<double>(free) / static_cast<double>(all) : 0.0;
        };
        if (it.capacity.accelerators > 0) {
            return score - part(it.freeAfter.accelerators, it.capacity.accelerators)
                - part(it.freeAfter.cpuMilli, it.capacity.cpuMilli);
        }
        return score + part(it.freeAfter.cpuMilli, it.capacity.cpuMilli);
    }
};

/** Chooses the first worker that fits, as a baseline. */
struct FirstFitChoice {
    static double score(const Candidate & /*candidate*/)
    {
        return 0;
    }
};

} // namespace flamingotally::dispatch
