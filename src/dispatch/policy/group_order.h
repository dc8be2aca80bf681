/** @file group_order.h In which order groups that wait are served. */
#pragma once

#include "dispatch/entry_base.h"

#include <concepts>
#include <tuple>

namespace flamingotally::dispatch
{

/** What an order may look at. */
struct GroupView {
    std::uint32_t priority = 0; ///< Of the queue; lower goes first.
    double use = 0; ///< What the team holds, in cores, by its share.
    MonotonicTime objectiveAt{}; ///< When the occurrence has to be done to be in time.
    bool endless = false;
};

/** An order of groups: gives each a key; lower keys go first. */
template<typename T>
concept GroupOrder = requires(const GroupView &view)
{
    {
        T::key(view)
        } -> std::totally_ordered;
};

/** By priority, then by the team that has least of its share, then by the objective. */
struct FairOrder {
    static auto key(const GroupView &view)
    {
        return std::tuple(view.priority, view.endless ? 0 : 1, view.use, view.objectiveAt);
    }
};

/** By time alone, as a baseline. */
struct FifoOrder {
    static auto key(const GroupView &view)
    {
        return view.objectiveAt;
    }
};

} // namespace flamingotally::dispatch
