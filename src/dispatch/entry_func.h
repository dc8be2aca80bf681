/** @file entry_func.h Functions that several systems of an entry daemon share. */
#pragma once

#include "dispatch/entry_base.h"

#include <fmt/format.h>

namespace flamingotally::dispatch
{

/**
 * Logs an event.
 * @param job Job that the event is about; zero for none.
 * @param format Fields of the event, as "key={}" pairs.
 */
template<typename... Args>
void logEvent(Entry &entry, EventKind kind, JobId job, fmt::format_string<Args...> format, Args &&...args)
{
    entry.outbox.events.push_back({kind, job, fmt::format(format, std::forward<Args>(args)...)});
}

/**
 * Queues a record for one of the daemon's writers.
 * @param handle Call that is answered once the record is stored; zero for none.
 */
void queueRecord(Entry &entry, JournalWriter which, JournalRecord record, CallHandle handle = 0);

/** Returns the number of the batch that will contain the records that are now queued for the owner's writer. */
std::uint64_t nextOwnerBatch(const Entry &entry);

/**
 * Returns true while this daemon certainly owns the cell: it is the owner, and a batch that it sent within the
 * isolation limit was stored. Otherwise it renews no leases and starts nothing.
 */
bool isCertainOwner(const Entry &entry, const TickTime &time);

/** Returns true if this daemon's view of the configuration is recent enough for an owner. */
bool hasFreshConfig(const Entry &entry, const TickTime &time);

/**
 * Returns true if this owner's views of the journal, the list of workers and the configuration are recent enough to go
 * on owning the cell: they contain recent cancellations, departures and evacuations.
 */
bool hasFreshViews(const Entry &entry, const TickTime &time);

/**
 * Returns true if runs may be placed and started: this daemon certainly owns the cell and has views that are newer
 * still than those of hasFreshViews().
 */
bool mayStart(const Entry &entry, const TickTime &time);

/**
 * Makes this daemon a follower and discards its tables of active work.
 * @param cause Reason, for the log.
 */
void resign(Entry &entry, std::string_view cause);

/**
 * Makes this daemon begin anew after an unexpected error in a tick: it drops the messages of the tick, gives up
 * ownership and loads the journal again. Batches that it may have sent are sent again; the store recognizes them.
 * @param what What the error says of itself, for the log.
 */
void recoverFromError(Entry &entry, std::string_view what, MonotonicTime now);

/** Converts a monotonic time to wall time since the Unix epoch. */
Milliseconds wallAt(const Entry &entry, MonotonicTime at);

/** Converts a wall time since the Unix epoch to the monotonic time at which it is reached. */
MonotonicTime monotonicAt(const Entry &entry, Milliseconds wall);

/**
 * Returns the time by which a worker that has not responded to this owner certainly runs nothing any more that previous
 * owners ordered.
 */
MonotonicTime previousLeasesExpireAt(const Entry &entry);

/** Returns the record by which this daemon describes itself in the journal. */
DaemonRecord ownRecord(const Entry &entry);

} // namespace flamingotally::dispatch
