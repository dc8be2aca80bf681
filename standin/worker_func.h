/** @file worker_func.h Functions on workers and attempts for the systems of the stand-in. */
#pragma once

#include "standin_base.h"

namespace flamingotally::standin
{

/** Returns the time by the worker's own clock. */
WorkerTime clockOf(const Standin &standin, HostRef worker, const StandinTime &time);

/** Carries out the orders of a sync request: acknowledgement, lease renewals, stops, then starts. */
void applyOrders(Standin &standin, HostRef worker, const WorkerSync &sync, const StandinTime &time);

/** Ends a running attempt with an outcome and reports the end. */
void endAttempt(Standin &standin, SimAttemptRef ref, Outcome outcome, const StandinTime &time);

/** Builds the report of a worker. Notes the time of each usage report in the attempt. */
WorkerReport makeReport(Standin &standin, HostRef worker, const StandinTime &time);

/** Restarts a worker: its running attempts end as lost, and its state and reports are cleared. */
void rebootWorker(Standin &standin, HostRef worker, const StandinTime &time);

} // namespace flamingotally::standin
