/** @file group_order.h In which order groups that wait are served. */
#pragma once

#include "dispatch/entry_base.h"

#include <concepts>
#include <tuple>

namespace flamingotally::dispatch
{

/** What can still be had of an occurrence. Lower values go first. */
enum class Timeliness : std::uint8_t {
    InTime,
    Late, ///< Past its objective, but within three times that.
    Lost, ///< Too late to be of use; it still runs when there is room.
    End,
};

/** What an order may look at. */
struct GroupView {
    std::uint32_t priority = 0; ///< Of the queue; lower goes first.
    double use = 0; ///< What the team holds, in cores, by its share.
    MonotonicTime objectiveAt{}; ///< When the occurrence has to be done to be in time.
    Timeliness timeliness = Timeliness::InTime;
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

/** What is lost goes last; then by priority, prospect, the team that has least of its share, and the objective. */
struct FairOrder {
    static auto key(const GroupView &view)
    {
        const bool isLost = view.timeliness == Timeliness::Lost;
        return std::tuple(isLost, view.priority, view.endless ? 0 : 1, view.timeliness, view.use, view.objectiveAt);
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
