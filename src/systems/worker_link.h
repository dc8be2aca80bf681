/** @file worker_link.h Lines to workers: which ones this daemon keeps, what came in over them, the worker's clock. */
#pragma once

#include "node_func.h"

namespace flamingotally
{

/** Makes lines to the workers that this daemon owns, and drops those it no longer owns. */
void keepLinks(Node &node, const TickTime &time);

/** Takes in the reports that arrived. */
void takeWorkerReports(Node &node, const TickTime &time);

/** Proposes what reports say: workers that are new, changed or restarted, and attempts that ended. */
void proposeFromReports(Node &node, const TickTime &time);

/** Line to a worker of the tables; unset when another daemon owns it. */
WorkerLinkRef linkOf(const Node &node, WorkerRef worker);

/**
 * A time by the worker's clock that has surely come there already.
 * @param link Its line; the worker was heard.
 * @param time Time of the tick.
 */
WorkerTime earliestWorkerTime(const WorkerLink &link, const TickTime &time);

/** Tells whether an attempt that is not in the tables has ended, and not merely is unknown here yet. */
bool isOver(const Node &node, AttemptNumber attempt);

} // namespace flamingotally
