/** @file standin_systems.h Systems of the stand-in, in the order in which a tick runs them. */
#pragma once

#include "standin_base.h"

namespace flamingotally::standin
{

/** Switches faults on and off as requested. */
void faultSystem(Standin &standin, const StandinTime &time);

/** Stores appends, answers reads and drops records beyond the retention. */
void logSystem(Standin &standin, const StandinTime &time);

/** Answers requests for the host list with its state of hostListLag ago. */
void hostSystem(Standin &standin, const StandinTime &time);

/** Carries out orders, ends attempts that have finished or whose lease has expired, and sends reports. */
void workerSystem(Standin &standin, const StandinTime &time);

/** Answers requests for the journal and for results. */
void journalSystem(Standin &standin, const StandinTime &time);

/** Runs all systems once, in order, and sets the time of the next tick. */
void tick(Standin &standin, const StandinTime &time);

/** Schedules the next tick at the given time at the latest. */
void wakeAt(Standin &standin, MonotonicTime at);

/** Adds a host to the list. */
HostRef addHost(Standin &standin, const HostRow &row);

/** Adds a worker to the host list and to the simulated workers. */
HostRef addWorker(Standin &standin, const HostRow &row, const Resources &total, const StandinTime &time);

} // namespace flamingotally::standin
