/** @file worker_func.h What the systems of the stand-in do with workers and attempts. */
#pragma once

#include "standin_base.h"

namespace flamingotally::standin
{

/** The worker's own clock. */
WorkerTime clockOf(const Standin &standin, HostRef worker, const StandinTime &time);

/** Carries out the orders of an exchange. */
void applyOrders(Standin &standin, HostRef worker, const WorkerSync &sync, const StandinTime &time);

/** Ends a running attempt and reports it. */
void endAttempt(Standin &standin, SimAttemptRef ref, Outcome outcome, const StandinTime &time);

/** Makes a worker's report. */
WorkerReport makeReport(Standin &standin, HostRef worker, const StandinTime &time);

/** Restarts a worker: all that ran is lost, nothing is remembered. */
void rebootWorker(Standin &standin, HostRef worker, const StandinTime &time);

} // namespace flamingotally::standin
