#include "dispatch/entry_func.h"
#include "dispatch/systems/systems.h"

#include <algorithm>
#include <utility>

namespace flamingotally::dispatch
{

namespace
{

constexpr Milliseconds shortestInterval{5'000}; ///< Between two writes of a daemon's own record.
constexpr Milliseconds intervalPerDaemon{100}; ///< Of many daemons, each writes its record less often.
constexpr int missedRecords = 3; ///< A daemon that has written no record for this many intervals is gone.
constexpr Milliseconds removalTime{600'000}; ///< The record of a daemon is removed when it was seen last this long ago.

Milliseconds recordInterval(const Entry &entry)
{
    const auto daemons = static_cast<std::int64_t>(entry.ownership.daemonsAlive);
    return std::max(shortestInterval, intervalPerDaemon * daemons);
}

/** Writes this daemon's own record when it is due, unless the writer still has records that wait for the store. */
void writeOwnRecord(Entry &entry, const TickTime &time)
{
    const auto &writer = entry.writer(JournalWriter::Entry);
    if (time.now >= entry.ownRecordDueAt && writer.queue.empty() && !writer.batch) {
        queueRecord(entry, JournalWriter::Entry, ownRecord(entry));
        entry.ownRecordDueAt = time.now + recordInterval(entry);
    }
}

/**
 * Returns the time since when the journal, as far as it was read without a failure, has no record of a daemon. While it
 * cannot be read, nothing is known of others, and they may be unable to write, too.
 */
Milliseconds silenceOf(const Entry &entry, const KnownDaemon &daemon)
{
    const auto &view = entry.journal;
    const bool canRead = view.readingSince != MonotonicTime{};
    return canRead ? Milliseconds(view.asOf - std::max(daemon.seenAt, view.readingSince)) : Milliseconds{0};
}

/** Marks the daemons that are gone, and forgets those that have been gone for long; the owner removes their records. */
void updateDaemons(Entry &entry)
{
    const auto limit = recordInterval(entry) * missedRecords;
    auto &ownership = entry.ownership;
    ownership.daemonsAlive = 0;
    for (auto it = ownership.daemons.begin(); it != ownership.daemons.end();) {
        auto &daemon = it->second;
        const auto silence = silenceOf(entry, daemon);
        const bool isOwn = it->first == entry.settings.name;
        const bool wasAlive = std::exchange(daemon.isAlive, isOwn || (daemon.isAlive && silence <= limit));
        if (wasAlive && !daemon.isAlive) {
            logEvent(entry, EventKind::DaemonGone, 0, "name={} silent_ms={}", it->first, silence.count());
        }
        ownership.daemonsAlive += daemon.isAlive ? 1 : 0;
        if (daemon.isAlive || silence < removalTime) {
            ++it;
            continue;
        }
        if (entry.isOwner()) {
            queueRecord(entry, JournalWriter::Owner, RemovedDaemonRecord{it->first});
        }
        it = ownership.daemons.erase(it);
    }
}

} // namespace

void daemonListSystem(Entry &entry, const TickTime &time)
{
    if (!entry.journal.loaded) {
        return;
    }
    if (!entry.inbox.journalReads.empty()) {
        updateDaemons(entry);
    }
    writeOwnRecord(entry, time);
}

} // namespace flamingotally::dispatch
