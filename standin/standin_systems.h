/** @file standin_systems.h Systems of the stand-in, in the order in which a tick runs them. */
#pragma once

#include "standin_base.h"

namespace flamingotally::standin
{

/** Switches faults on and off as requested, and reboots hosts. */
void faultSystem(Standin &standin, const StandinTime &time);

/** Stores appends, answers reads, drops records beyond the retention, and simulates outages of the log. */
void logSystem(Standin &standin, const StandinTime &time);

/** Answers requests for the host list with the list as it was hostListLag ago. */
void hostSystem(Standin &standin, const StandinTime &time);

/** Carries out orders, ends attempts that have finished or whose lease has expired, and sends reports. */
void workerSystem(Standin &standin, const StandinTime &time);

/** Answers requests for the journal and for results of attempts. */
void journalSystem(Standin &standin, const StandinTime &time);

/** Runs all systems once, in order, and sets the time of the next tick. */
void tick(Standin &standin, const StandinTime &time);

/** Makes sure that the next tick is no later than the given time. */
void wakeAt(Standin &standin, MonotonicTime at);

/** Adds a host to the host list. */
HostRef addHost(Standin &standin, const HostRow &row);

/** Adds a worker to the host list, and simulates it. */
HostRef addWorker(Standin &standin, const HostRow &row, const Resources &total, const StandinTime &time);

} // namespace flamingotally::standin
