/** @file freshness.h Evidence of the head of the log, and the freshness of this daemon's view that follows from it. */
#pragma once

#include "node_func.h"

namespace flamingotally
{

/**
 * Adds evidence of the head of the log. Once all records before that head are applied, the view is as fresh as the
 * evidence.
 * @param node The daemon.
 * @param evidence The evidence, with its time by this daemon's clock.
 */
void addHeadEvidence(Node &node, const HeadEvidence &evidence);

/** Updates whether the view is fresh: caught up, not blocked, and younger than the fence. */
void updateFreshness(Node &node, const TickTime &time);

/** Discards all evidence of freshness. Needed when the tables are replaced by older ones. */
void resetView(Node &node);

/**
 * Returns true if the last read of the log failed, or the log has not responded for longer than a long poll and half of
 * the fence. Records are then requested from peers.
 */
bool isLogUnreachable(const Node &node, const TickTime &time);

} // namespace flamingotally
