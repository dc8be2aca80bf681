/** @file queue_policy.h In which order waiting work is served. */
#pragma once

#include "policy/capacity.h"
#include "policy/waiting.h"

#include <concepts>
#include <tuple>

namespace flamingotally
{

/** Waiting jobs that are served in a fixed order among themselves. */
struct LaneKey {
    std::uint32_t rank = 0; ///< Lower ranks are served first.
    std::uint32_t team = 0; ///< Index of the team; lanes of one rank are served by their teams' levels.

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
        T::makesRoom
        } -> std::convertible_to<bool>; // Whether it reserves workers for gangs and preempts.
};

/**
 * By urgency, then by the team's distance from its share, then by deadline, then by age. Deadlines count within a
 * team only: else the profile with the shortest bound would take the cell, and shares would mean nothing.
 */
struct ShareQueue {
    static constexpr bool makesRoom = true;

    static LaneKey laneOf(const WaitingJob &row)
    {
        return {static_cast<std::uint32_t>(row.urgency), row.team.index};
    }

    static bool before(const WaitingJob &left, const WaitingJob &right)
    {
        return std::tie(left.deadline, left.since, left.job.index)
            < std::tie(right.deadline, right.since, right.job.index);
    }
};

/** By age alone, over all teams and urgencies. */
struct FifoQueue {
    static constexpr bool makesRoom = false;

    static LaneKey laneOf(const WaitingJob & /*row*/)
    {
        return {};
    }

    static bool before(const WaitingJob &left, const WaitingJob &right)
    {
        return std::tie(left.since, left.job.index) < std::tie(right.since, right.job.index);
    }
};

static_assert(QueuePolicy<ShareQueue>);
static_assert(QueuePolicy<FifoQueue>);

} // namespace flamingotally
