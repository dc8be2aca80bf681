#include "dispatch/systems/systems.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

constexpr Milliseconds longestSleep{250}; ///< Maximum time until the next tick, even if no system asks for one earlier.

/** Empties the inbox and keeps its allocated memory. */
void clearInbox(Inbox &inbox)
{
    inbox.journalReads.clear();
    inbox.appendResponses.clear();
    inbox.configReads.clear();
    inbox.workerLists.clear();
    inbox.pollResponses.clear();
    inbox.orderResponses.clear();
    inbox.adviceResponses.clear();
    inbox.commitCalls.clear();
    inbox.commitResponses.clear();
    inbox.calls.clear();
    inbox.peerReads.clear();
}

} // namespace

void tick(Entry &entry, const TickTime &time)
{
    ++entry.counters.ticks;
    // a system that asked for a time in the past was not delayed by that
    entry.dueTickAt = entry.nextWake == MonotonicTime{} ? time.now : std::max(entry.nextWake, entry.tickedAt);
    entry.nextWake = time.now + longestSleep;
    wallClockSystem(entry, time);
    configSystem(entry, time);
    readJournalSystem(entry, time);
    shareJournalSystem(entry, time);
    appendResponseSystem(entry, time);
    commitSystem(entry, time);
    daemonListSystem(entry, time);
    ownershipSystem(entry, time);
    pastUseSystem(entry, time); // before runs end and are placed in this tick
    workerListSystem(entry, time);
    orderResponseSystem(entry, time);
    workerReportSystem(entry, time);
    leaseSystem(entry, time);
    adviceResponseSystem(entry, time);
    placementSystem(entry, time);
    poolLoadSystem(entry, time);
    adviceRequestSystem(entry, time);
    orderSystem(entry, time);
    pollSystem(entry, time);
    admissionSystem(entry, time);
    writeJournalSystem(entry, time);
    retentionSystem(entry, time);
    callerLimitSystem(entry, time);
    loadReportSystem(entry, time);
    clearInbox(entry.inbox);
    entry.tickedAt = time.now;
}

} // namespace flamingotally::dispatch
