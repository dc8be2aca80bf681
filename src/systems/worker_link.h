/** @file worker_link.h Links to the workers that this daemon owns, their reports, and estimates of their clocks. */
#pragma once

#include "node_func.h"

namespace flamingotally
{

/** Adds links to the registered and listed workers that this daemon owns, and drops links to all others. */
void updateLinks(Node &node, const TickTime &time);

/** Processes the received reports and empties their inbox. */
void receiveWorkerReports(Node &node, const TickTime &time);

/** Proposes the changes that reports show: new, changed or restarted workers, and ended attempts. */
void proposeFromReports(Node &node, const TickTime &time);

/** Returns the link to a registered worker; unset if another daemon owns the worker. */
WorkerLinkRef linkOf(const Node &node, WorkerRef worker);

/**
 * Returns a lower bound of the current time by the worker's clock.
 * @param link Link to the worker, on which a report has been received.
 * @param time Time of the tick.
 */
WorkerTime earliestWorkerTime(const WorkerLink &link, const TickTime &time);

/** Returns true if an attempt has ended. An attempt whose placement this daemon has not applied yet has not ended. */
bool hasAttemptEnded(const Node &node, AttemptNumber attempt);

} // namespace flamingotally
