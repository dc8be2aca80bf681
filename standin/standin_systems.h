/** @file standin_systems.h The systems of the stand-in, in the order of its tick. */
#pragma once

#include "standin_base.h"

namespace flamingotally::standin
{

/** Switches faults. */
void faultSystem(Standin &standin, const StandinTime &time);

/** Stores appends, answers reads, drops old records. */
void logSystem(Standin &standin, const StandinTime &time);

/** Hands out the host list as it was some time ago. */
void hostSystem(Standin &standin, const StandinTime &time);

/** Takes orders, ends what has run long enough or lost its lease, reports. */
void workerSystem(Standin &standin, const StandinTime &time);

/** Answers from the journal and with held results. */
void journalSystem(Standin &standin, const StandinTime &time);

/** Runs all systems once, in order, and sets the time of the next tick. */
void tick(Standin &standin, const StandinTime &time);

/** Asks for a tick at some time. */
void wakeAt(Standin &standin, MonotonicTime at);

/** Adds a host to the list. */
HostRef addHost(Standin &standin, const HostRow &row);

/** Adds a worker to the list and to the workers. */
HostRef addWorker(Standin &standin, const HostRow &row, const Resources &total, const StandinTime &time);

} // namespace flamingotally::standin
