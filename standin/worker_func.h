/** @file worker_func.h Functions on workers and attempts for the systems of the stand-in. */
#pragma once

#include "standin_base.h"

namespace flamingotally::standin
{

/** Returns the current time by the worker's own clock. */
WorkerTime clockOf(const Standin &standin, HostRef worker, const StandinTime &time);

/** Carries out the orders of a sync request: first acknowledgement, then lease renewals, stops and starts. */
void applyOrders(Standin &standin, HostRef worker, const WorkerSync &sync, const StandinTime &time);

/** Ends a running attempt with an outcome, and adds the end to the worker's next report. */
void endAttempt(Standin &standin, SimAttemptRef ref, Outcome outcome, const StandinTime &time);

/** Builds the report of a worker. Records in each attempt the time at which its usage was reported. */
WorkerReport makeReport(Standin &standin, HostRef worker, const StandinTime &time);

/** Reboots a worker: its running attempts are lost, unacknowledged ends are dropped, and it gets a new boot id. */
void rebootWorker(Standin &standin, HostRef worker, const StandinTime &time);

} // namespace flamingotally::standin
