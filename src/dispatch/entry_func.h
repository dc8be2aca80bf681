/** @file entry_func.h Functions that several systems of an entry daemon share. */
#pragma once

#include "dispatch/entry_base.h"

#include <fmt/format.h>

namespace flamingotally::dispatch
{

/**
 * Logs an event.
 * @param job Job that the event is about; zero for none.
 * @param format Its fields as "key={}" pairs.
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

/** Number of the batch that will contain the records that the owner queues now. */
std::uint64_t nextOwnerBatch(const Entry &entry);

/** Returns true while this daemon owns the cell for certain: it has stored a batch within the isolation limit. */
bool isCertainOwner(const Entry &entry, const TickTime &time);

/** Returns true if isCertainOwner() and the view of the journal is fresh, so that recent cancellations are known. */
bool mayStart(const Entry &entry, const TickTime &time);

/**
 * Makes this daemon a follower and discards its tables of active work.
 * @param cause Reason for the log.
 */
void resign(Entry &entry, std::string_view cause);

/** Converts a monotonic time to wall time since the Unix epoch. */
Milliseconds wallAt(const Entry &entry, MonotonicTime at);

/** Converts a wall time since the Unix epoch to the monotonic time at which it is reached. */
MonotonicTime monotonicAt(const Entry &entry, Milliseconds wall);

/** Time after which a worker that has not responded to this owner runs nothing that previous owners ordered. */
MonotonicTime previousLeasesExpireAt(const Entry &entry);

/** The record by which this daemon describes itself in the journal. */
DaemonRecord ownRecord(const Entry &entry);

} // namespace flamingotally::dispatch
