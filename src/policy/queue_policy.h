/** @file queue_policy.h Policies for the order in which waiting work is served. */
#pragma once

#include "policy/capacity.h"
#include "policy/waiting.h"

#include <concepts>
#include <tuple>

namespace flamingotally
{

/** Key of a lane, which is a queue of waiting jobs that are served in a fixed order among themselves. */
struct LaneKey {
    std::uint32_t rank = 0; ///< Lower ranks are served first.
    std::uint32_t team = 0; ///< Index of the team. Of lanes of the same rank, that of the lowest team level is served.

    friend bool operator==(const LaneKey &, const LaneKey &) = default;

    friend bool operator<(const LaneKey &left, const LaneKey &right)
    {
        return std::tie(left.rank, left.team) < std::tie(right.rank, right.team);
    }
};

/** Sorts waiting jobs into lanes and orders each lane. */
template<typename T>
concept QueuePolicy = requires(const WaitingJob &left, const WaitingJob &right)
{
    {
        T::laneOf(left)
        } -> std::same_as<LaneKey>;
    {
        T::before(left, right)
        } -> std::same_as<bool>;
    {
        T::reservesAndPreempts
        } -> std::convertible_to<bool>; // If true, blocked work may reserve capacity and preempt.
};

/**
 * Orders by urgency, then by the level of the team, then by deadline, then by age. Deadlines count only within a team;
 * otherwise the profile with the shortest maximum wait would take the whole cell, regardless of shares.
 */
struct ShareQueue {
    static constexpr bool reservesAndPreempts = true;

    static LaneKey laneOf(const WaitingJob &row)
    {
        return {static_cast<std::uint32_t>(row.urgency), row.team.index};
    }

    static bool before(const WaitingJob &left, const WaitingJob &right)
    {
        return std::tie(left.deadline, left.waitingSince, left.job.index)
            < std::tie(right.deadline, right.waitingSince, right.job.index);
    }
};

/** Orders by age alone, across all teams and urgencies. */
struct FifoQueue {
    static constexpr bool reservesAndPreempts = false;

    static LaneKey laneOf(const WaitingJob & /*row*/)
    {
        return {};
    }

    static bool before(const WaitingJob &left, const WaitingJob &right)
    {
        return std::tie(left.waitingSince, left.job.index) < std::tie(right.waitingSince, right.job.index);
    }
};

static_assert(QueuePolicy<ShareQueue>);
static_assert(QueuePolicy<FifoQueue>);

} // namespace flamingotally
