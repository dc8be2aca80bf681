#include "dispatch/systems/systems.h"

namespace flamingotally::dispatch
{

namespace
{

constexpr Milliseconds longestSleep{250};

/** Empties the inboxes and keeps their memory. */
void clearInbox(Inbox &inbox)
{
    inbox.journalReads.clear();
    inbox.appendResponses.clear();
    inbox.configReads.clear();
    inbox.workerLists.clear();
    inbox.pollResponses.clear();
    inbox.orderResponses.clear();
    inbox.adviceResponses.clear();
    inbox.calls.clear();
}

} // namespace

void tick(Entry &entry, const TickTime &time)
{
    ++entry.counters.ticks;
    entry.nextWake = time.now + longestSleep;
    wallClockSystem(entry, time);
    configSystem(entry, time);
    readJournalSystem(entry, time);
    writtenSystem(entry, time);
    ownershipSystem(entry, time);
    workerListSystem(entry, time);
    workerReportSystem(entry, time);
    leaseSystem(entry, time);
    adviceAnswerSystem(entry, time);
    placementSystem(entry, time);
    adviceQuestionSystem(entry, time);
    orderSystem(entry, time);
    holdSystem(entry, time);
    admissionSystem(entry, time);
    writeJournalSystem(entry, time);
    expirySystem(entry, time);
    clearInbox(entry.inbox);
    entry.tickedAt = time.now;
}

} // namespace flamingotally::dispatch
