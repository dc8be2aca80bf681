/**
 * @file order_pacing.h How many orders to workers may be in flight at once, and how long to wait for their responses.
 *
 * Load pattern: a burst of starts over this host's narrow link, or many late responses. Orders that are sent faster
 * than the link carries them wait in it, are given up as unanswered, and are sent again; soon the link carries only
 * those.
 */
#pragma once

#include "dispatch/worker_base.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace order_pacing
{

constexpr std::uint32_t minWindow = 4; ///< Orders that may always be in flight.
constexpr std::uint32_t maxWindow = 1'024;
/**
 * Orders that may be in flight to one worker. They share a connection, so that each waits for those before it, and that
 * wait must not look like a congested link.
 */
constexpr std::uint32_t maxInFlightPerWorker = 4;
/** A link whose typical response takes longer is congested. */
constexpr Milliseconds congestedResponse{100};
/** Response times that must be known before the link can count as congested. */
constexpr std::size_t minResponses = OrderPacing::memory / 2;
constexpr int timeoutFactor = 4; ///< An order waits for this many typical response times.
constexpr Milliseconds longestTimeout{2'000}; ///< Of an order, and of a poll beyond the worker's own wait.
/**
 * Orders a second that a window allows at least over a link that is shared with other traffic, whose delay a smaller
 * window need not shorten. At 2 KB an order they take a sixth of the narrowest host link, 10 Mbit/s.
 */
constexpr std::int64_t sharedLinkRate = 100;
/** How long after congestion the silence of workers is still put down to the link. */
constexpr Milliseconds doubtPeriod{3'000};

} // namespace order_pacing

/** Returns the median of the latest response times; zero while too few are known. */
inline Milliseconds typicalResponse(const OrderPacing &pacing)
{
    if (pacing.count < order_pacing::minResponses) {
        return Milliseconds{0};
    }
    auto sorted = pacing.responseTimes;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(pacing.count, sorted.size()));
    const auto middle = sorted.begin() + (end - sorted.begin()) / 2;
    std::nth_element(sorted.begin(), middle, end);
    return *middle;
}

/** Returns true if typical responses show that orders wait in this host's link. */
inline bool isCongested(const OrderPacing &pacing)
{
    return typicalResponse(pacing) > order_pacing::congestedResponse;
}

/**
 * Returns the window that is not reduced further, and to which it grows back while the link is congested. A typical
 * response as long as the longest time-out shows that orders get lost, so that only the smallest window is safe.
 */
inline std::uint32_t smallestWindow(const OrderPacing &pacing)
{
    const auto typical = typicalResponse(pacing);
    if (!pacing.isLinkShared || typical >= order_pacing::longestTimeout) {
        return order_pacing::minWindow;
    }
    const auto orders = order_pacing::sharedLinkRate * typical / Milliseconds{1'000};
    return std::max(order_pacing::minWindow, static_cast<std::uint32_t>(orders));
}

/**
 * Records how an order to a responsive worker went, and adapts the window: it is halved when the link becomes
 * congested, at most once in the time that a response takes, and grows by one with each response otherwise.
 * @param elapsed Time from sending the order until its response, or until it was given up.
 */
inline void recordResponse(OrderPacing &pacing, Milliseconds elapsed, MonotonicTime now)
{
    pacing.responseTimes[pacing.count % OrderPacing::memory] = elapsed;
    ++pacing.count;
    if (!isCongested(pacing)) {
        pacing.window = std::min(pacing.window + 1, order_pacing::maxWindow);
        return;
    }
    pacing.congestedAt = now;
    const auto smallest = smallestWindow(pacing);
    if (pacing.window < smallest) {
        ++pacing.window;
    } else if (now - pacing.reducedAt >= typicalResponse(pacing)) {
        pacing.reducedAt = now;
        pacing.window = std::max(pacing.window / 2, smallest);
    }
}

/** Returns true if more orders wait than the window allows in flight, so that no further ones should be made. */
inline bool isBacklogged(const OrderPacing &pacing)
{
    return pacing.ordersWaiting > pacing.window;
}

/**
 * Returns how long to wait for the response to an order.
 * @param shortest Time-out over an idle link.
 */
inline Milliseconds orderTimeout(const OrderPacing &pacing, Milliseconds shortest)
{
    const auto typical = typicalResponse(pacing) * order_pacing::timeoutFactor;
    return std::clamp(typical, shortest, std::max(shortest, order_pacing::longestTimeout));
}

/** Returns true if the link was congested within the last `doubtPeriod`. */
inline bool wasCongested(const OrderPacing &pacing, MonotonicTime now)
{
    return pacing.congestedAt != MonotonicTime{} && now - pacing.congestedAt < order_pacing::doubtPeriod;
}

} // namespace flamingotally::dispatch
