#include "node_func.h"
#include "systems/snapshot_work.h"
#include "systems/systems.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

/** Returns true if the tables mark this daemon as leaving or do not contain it. */
bool isMarkedLeaving(const Node &node)
{
    const auto self = selfRef(node);
    return !self.isSet() || node.tables.daemons.get<DaemonState>(self).leaving;
}

/** Proposes, once, the record by which this daemon leaves and owns no workers any more. */
void proposeLeaving(Node &node, const TickTime &time)
{
    if (!node.proposals.contains(node.leaveProposal) && !isMarkedLeaving(node)) {
        node.leaveProposal = propose(node, LeaveDaemon{node.settings.name, node.incarnation, false}, time, true);
    }
}

/**
 * Returns true if the drain is complete: no work is left, or the drain time-out has passed, so that an unreachable log
 * cannot block the exit.
 */
bool isDone(const Node &node, const TickTime &time)
{
    const bool isIdle = !node.isFrontOpen && node.waiters.size() == 0 && node.proposals.size() == 0 && !node.inFlight;
    return (isIdle && isMarkedLeaving(node)) || time.now >= node.drainingSince + node.settings.drainTimeout;
}

/** Ends all waits after three quarters of the drain time-out, which leaves time to send the responses. */
void releaseWaiters(Node &node, const TickTime &time)
{
    const auto release = node.drainingSince + node.settings.drainTimeout * 3 / 4;
    if (time.now < release) {
        wakeBy(node, release);
        return;
    }
    node.waiters.forEach([&](WaiterRef it) {
        auto &until = node.waiters.get<Waiter>(it).until;
        until = std::min(until, time.now);
    });
}

/** Returns true if a newer process has joined under this daemon's name. */
bool isSuperseded(const Node &node)
{
    const auto known = findRef(node.tables.lookups.daemons, node.settings.name);
    return known.isSet() && node.tables.daemons.get<DaemonIdentity>(known).incarnation > node.incarnation;
}

} // namespace

void lifecycleSystem(Node &node, const TickTime &time)
{
    if (node.phase == NodePhase::CatchingUp && node.view.caughtUp && selfRef(node).isSet()
        && isSnapshotTrusted(node, time)) {
        node.phase = NodePhase::Serving;
    }
    if (node.phase == NodePhase::Serving && isSuperseded(node)) {
        node.phase = NodePhase::Draining;
    }
    if (node.phase != NodePhase::Draining) {
        return;
    }
    if (node.drainingSince == MonotonicTime{}) {
        node.drainingSince = time.now;
    }
    proposeLeaving(node, time);
    releaseWaiters(node, time);
    if (isDone(node, time)) {
        node.phase = NodePhase::Drained;
    }
    wakeBy(node, node.drainingSince + node.settings.drainTimeout);
}

} // namespace flamingotally
