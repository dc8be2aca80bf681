/** @file systems.h The systems of an entry daemon, in the order of the tick. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Updates the daemon's estimate of the wall time, which ignores short steps of the wall clock. */
void wallClockSystem(Entry &entry, const TickTime &time);

/** Applies the results of reads of the configuration. */
void configSystem(Entry &entry, const TickTime &time);

/** Applies the records that were read from the journal, and sends the next read. */
void readJournalSystem(Entry &entry, const TickTime &time);

/** Answers daemons that read the journal from this one, as the reader of their region. */
void shareJournalSystem(Entry &entry, const TickTime &time);

/** Applies the store's responses to batches of journal records. */
void appendResponseSystem(Entry &entry, const TickTime &time);

/** As owner, queues the batches of other daemons for the next batch of its writer. */
void commitSystem(Entry &entry, const TickTime &time);

/** Writes this daemon's own record at intervals, and finds the daemons that are gone: they no longer write theirs. */
void daemonListSystem(Entry &entry, const TickTime &time);

/** Claims ownership when there is no owner; as owner, writes heartbeats and releases ownership to larger hosts. */
void ownershipSystem(Entry &entry, const TickTime &time);

/** Updates the past use of teams, as owner; a new owner begins with that of the newest record. */
void pastUseSystem(Entry &entry, const TickTime &time);

/** Applies changes in the list of workers. */
void workerListSystem(Entry &entry, const TickTime &time);

/** Applies the responses of workers to orders. */
void orderResponseSystem(Entry &entry, const TickTime &time);

/** Applies the responses of workers to polls. */
void workerReportSystem(Entry &entry, const TickTime &time);

/** Ends runs whose leases have expired, and stops runs on workers that are about to be removed. */
void leaseSystem(Entry &entry, const TickTime &time);

/** Applies the responses of the policy service: stores the tickets and refusals. */
void adviceResponseSystem(Entry &entry, const TickTime &time);

/** Opens due occurrences and places waiting tasks. */
void placementSystem(Entry &entry, const TickTime &time);

/** Measures the load of each pool, as owner, and prepares the record by which daemons admit jobs. */
void poolLoadSystem(Entry &entry, const TickTime &time);

/** Sends requests to the policy service for groups that need tickets. */
void adviceRequestSystem(Entry &entry, const TickTime &time);

/** Sends orders to start and stop runs. */
void orderSystem(Entry &entry, const TickTime &time);

/** Polls workers. A poll also renews the worker's lease and acknowledges the run ends that are stored. */
void pollSystem(Entry &entry, const TickTime &time);

/** Answers callers, or queues the records of their submissions and cancellations. */
void admissionSystem(Entry &entry, const TickTime &time);

/** Builds and sends the next batches of journal records. */
void writeJournalSystem(Entry &entry, const TickTime &time);

/** Removes jobs that ended longer ago than the retention period; as owner, also from the journal. */
void retentionSystem(Entry &entry, const TickTime &time);

/** Logs a line about callers that reached limits of the servers, at most one per second. */
void callerLimitSystem(Entry &entry, const TickTime &time);

/** Logs a line about the daemon's load at intervals. */
void loadReportSystem(Entry &entry, const TickTime &time);

/** Runs one tick: all systems in the order above. */
void tick(Entry &entry, const TickTime &time);

} // namespace flamingotally::dispatch
