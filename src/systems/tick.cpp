#include "systems/systems.h"

namespace flamingotally
{

namespace
{

/** Empties the inboxes but keeps their allocated memory for the next tick. */
void clearInbox(Inbox &inbox)
{
    inbox.logReads.clear();
    inbox.peerReads.clear();
    inbox.appendResponses.clear();
    inbox.workerReports.clear();
    inbox.heartbeats.clear();
    inbox.hostLists.clear();
    inbox.callerRequests.clear();
}

} // namespace

void tick(Node &node, const TickTime &time)
{
    ++node.counters.ticks;
    node.nextWake = time.now + node.settings.heartbeatInterval;
    readLogSystem(node, time);
    snapshotSystem(node, time);
    freshnessSystem(node, time);
    membershipSystem(node, time);
    lifecycleSystem(node, time);
    leaseSystem(node, time);
    admissionSystem(node, time);
    schedulingSystem(node, time);
    housekeepingSystem(node, time);
    appendSystem(node, time);
    responseSystem(node, time);
    clearInbox(node.inbox);
}

} // namespace flamingotally
