/** @file systems.h The systems of an entry daemon, in the order of the tick. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Follows the wall clock, without its short steps. */
void wallClockSystem(Entry &entry, const TickTime &time);

/** Takes in what was read of the configuration. */
void configSystem(Entry &entry, const TickTime &time);

/** Takes in records of the journal and asks for the next. */
void readJournalSystem(Entry &entry, const TickTime &time);

/** Takes in what became of the batches that were sent. */
void writtenSystem(Entry &entry, const TickTime &time);

/** Claims ownership when nobody decides, and shows that this daemon still does. */
void ownershipSystem(Entry &entry, const TickTime &time);

/** Takes in changes of the list of workers. */
void workerListSystem(Entry &entry, const TickTime &time);

/** Takes in the lists and answers of workers. */
void workerReportSystem(Entry &entry, const TickTime &time);

/** Ends runs whose leases are over, and empties workers that are about to leave. */
void leaseSystem(Entry &entry, const TickTime &time);

/** Takes in what the policy service has answered. */
void adviceAnswerSystem(Entry &entry, const TickTime &time);

/** Opens what is due and places tasks that wait. */
void placementSystem(Entry &entry, const TickTime &time);

/** Asks the policy service for groups that need it. */
void adviceQuestionSystem(Entry &entry, const TickTime &time);

/** Sends starts and stops of runs. */
void orderSystem(Entry &entry, const TickTime &time);

/** Asks workers for their lists and renews their leases. */
void holdSystem(Entry &entry, const TickTime &time);

/** Answers callers or writes what they ask for. */
void admissionSystem(Entry &entry, const TickTime &time);

/** Makes and sends the next batches. */
void writeJournalSystem(Entry &entry, const TickTime &time);

/** Drops jobs that have ended long ago. */
void expirySystem(Entry &entry, const TickTime &time);

/** Runs all systems in order. */
void tick(Entry &entry, const TickTime &time);

} // namespace flamingotally::dispatch
