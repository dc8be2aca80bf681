/**
 * @file commit_route.h Which way a batch of a daemon's entry writer goes to the store.
 *
 * Load pattern: the store takes 50 times as long for an append as usual, or refuses some daemons. Appends of all
 * daemons then queue at the one partition, and those of the owner wait behind them. Through the owner, the whole cell
 * has one append in flight.
 */
#pragma once

#include "dispatch/commit_type.h"

namespace flamingotally::dispatch
{

/** What the choice of the way depends on. */
struct CommitRouteFacts {
    bool isOwnerReachable = false; ///< The owner is known, and the last call to it did not fail a moment ago.
    bool isStoreSlow = false; ///< The view counts the store as slow, or an append got no response in time.
    bool wasRefused = false; ///< The store refused an append of this daemon a moment ago.
    /**
     * The last batch went through the owner, which had a slow append. A daemon that writes less often than the store
     * counts as slow would otherwise send each of its batches directly.
     */
    bool isRelaying = false;
};

/** Returns the way of the next batch: through the owner only if there is a reason and the owner can be reached. */
inline CommitRoute chooseRoute(const CommitRouteFacts &facts)
{
    const bool isCalledFor = facts.isStoreSlow || facts.wasRefused || facts.isRelaying;
    return facts.isOwnerReachable && isCalledFor ? CommitRoute::Owner : CommitRoute::Store;
}

} // namespace flamingotally::dispatch
