/** @file entry_func.h What several systems of an entry daemon do. */
#pragma once

#include "dispatch/entry_base.h"

#include <fmt/format.h>

namespace flamingotally::dispatch
{

/** Writes a line of the log with the fields in fmt's format. */
template<typename... Args>
void logEvent(Entry &entry, EventKind kind, JobId job, fmt::format_string<Args...> format, Args &&...args)
{
    entry.outbox.events.push_back({kind, job, fmt::format(format, std::forward<Args>(args)...)});
}

/** Queues a record for one of the daemon's writers. */
void write(Entry &entry, JournalWriter which, JournalRecord record, CallHandle handle = 0);

/** Number of the batch that will hold what the owner queues now. */
std::uint64_t nextOwnerBatch(const Entry &entry);

/** Tells whether the owner may start runs and renew leases: it has written lately, so nobody else owns. */
bool mayOrder(const Entry &entry, const TickTime &time);

/** Tells whether the owner may place and start: besides, it has read lately what callers asked for and took back. */
bool mayStart(const Entry &entry, const TickTime &time);

/** Gives ownership up in this daemon's eyes: forgets all work in hand. */
void resign(Entry &entry, std::string_view cause);

/** Wall time since the Unix epoch at a reading of the monotonic clock. */
Milliseconds wallAt(const Entry &entry, MonotonicTime at);

/** Monotonic time at which a wall time is reached. */
MonotonicTime monotonicAt(const Entry &entry, Milliseconds wall);

/** By when a worker that this owner has not heard runs nothing any more of what former owners ordered. */
MonotonicTime formerLeasesOverAt(const Entry &entry);

/** What this daemon says of itself in the journal. */
DaemonRecord ownRecord(const Entry &entry);

} // namespace flamingotally::dispatch
