/** @file freshness.h Proofs of where the log ended, and what they say of this daemon's view. */
#pragma once

#include "node_func.h"

namespace flamingotally
{

/**
 * Takes in a proof of the log's end. Once all records up to there are applied, the view is as fresh as the proof.
 * @param node The daemon.
 * @param evidence The proof, in this daemon's own clock.
 */
void addEvidence(Node &node, const HeadEvidence &evidence);

/** Judges whether the view is younger than the fence. */
void judgeView(Node &node, const TickTime &time);

/** Forgets all that made the view fresh: the tables were replaced by older ones. */
void resetView(Node &node);

/** Tells whether the log has given no sign of life for so long that records are asked of peers. */
bool isLogSilent(const Node &node, const TickTime &time);

} // namespace flamingotally
