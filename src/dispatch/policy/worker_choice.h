/** @file worker_choice.h Which of the workers that can run a task is taken. */
#pragma once

#include "dispatch/entry_base.h"

#include <concepts>

namespace flamingotally::dispatch
{

/** What a choice may look at. */
struct Candidate {
    Resources capacity;
    Resources freeAfter; ///< Free once the task is there.
    bool nearData = false; ///< In the rack of the task's data, or no rack is asked for.
    bool isAvoided = false; ///< The task's last run failed there.
    bool disturbs = false; ///< It would fill beside serving tasks, or serve beside filling ones.
    std::uint32_t failedInRow = 0;
    std::uint32_t sameGroup = 0; ///< Tasks of the group that run there.
};

/** A choice of workers: the highest score is taken. */
template<typename T>
concept WorkerChoice = requires(const Candidate &candidate)
{
    {
        T::score(candidate)
        } -> std::convertible_to<double>;
};

/** Spreads plain work by load, and packs work with accelerators so that whole workers stay free for large tasks. */
struct FitChoice {
    static double score(const Candidate &it)
    {
        constexpr double avoidedPenalty = 1'000;
        constexpr double disturbingPenalty = 100;
        constexpr double farPenalty = 50;
        constexpr double failurePenalty = 5;
        double score = -failurePenalty * it.failedInRow;
        score -= it.isAvoided ? avoidedPenalty : 0;
        score -= it.disturbs ? disturbingPenalty : 0;
        score -= it.nearData ? 0 : farPenalty;
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

/** Takes the first worker that fits, as a baseline. */
struct FirstFitChoice {
    static double score(const Candidate & /*candidate*/)
    {
        return 0;
    }
};

} // namespace flamingotally::dispatch
