/** @file group_order.h Sort orders in which waiting groups are placed. */
#pragma once

#include "dispatch/entry_base.h"

#include <concepts>
#include <tuple>

namespace flamingotally::dispatch
{

/** Properties of a group from which a sort order computes its key. */
struct GroupView {
    std::uint32_t priority = 0; ///< Priority of the queue; lower values are placed first.
    double usePerShare = 0; ///< Present and weighted past use of the team, in cores, divided by the team's share.
    MonotonicTime objectiveAt{}; ///< Time by which the occurrence should be done.
    Timeliness timeliness = Timeliness::InTime;
    bool endless = false; ///< Its step is endless and not at fault for failures of its runs.
    std::uint64_t visitedInPass = 0; ///< Number of the last pass that tried to place the group; zero for none.
};

/** A sort order of groups. T::key() returns a key for a group; groups with lower keys are placed first. */
template<typename T>
concept GroupOrder = requires(const GroupView &view)
{
    {
        T::key(view)
        } -> std::totally_ordered;
};

/**
 * Sorts by, in this order: groups that are too late last, priority, endless steps first, timeliness, the team that uses
 * and used least of its share first, the earliest objective first. Groups that are too late take turns, so that those
 * that find no worker do not hold up the others.
 */
struct FairOrder {
    static auto key(const GroupView &view)
    {
        const bool isTooLate = view.timeliness == Timeliness::TooLate;
        const auto turn = isTooLate ? view.visitedInPass : 0;
        return std::tuple(
            isTooLate, turn, view.priority, view.endless ? 0 : 1, view.timeliness, view.usePerShare, view.objectiveAt);
    }
};

/** Sorts by objective alone, the earliest first, as a baseline. */
struct FifoOrder {
    static auto key(const GroupView &view)
    {
        return view.objectiveAt;
    }
};

} // namespace flamingotally::dispatch
