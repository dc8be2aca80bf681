#include "command_func.h"
#include "systems/freshness.h"
#include "systems/heartbeat.h"
#include "systems/host_list.h"
#include "systems/rendezvous.h"
#include "systems/systems.h"

namespace flamingotally
{

namespace
{

/** Raises the incarnation of this process above that of the known daemon of the same name. Called before the join. */
void raiseIncarnation(Node &node, DaemonRef known)
{
    const auto earlier = node.tables.daemons.get<DaemonIdentity>(known).incarnation;
    node.incarnation = std::max(node.incarnation, earlier + 1);
}

void proposeJoin(Node &node, const TickTime &time)
{
    const JoinDaemon join{node.settings.name,
                          node.settings.peerAddress,
                          node.settings.httpAddress,
                          node.settings.domain,
                          node.incarnation,
                          limits::recordVersion};
    node.joinProposal = propose(node, join, time, true);
}

/**
 * Proposes to join the cell, and to join again if other daemons have removed this daemon. A process whose name has been
 * taken over by a newer process does not join again.
 */
void ensureJoined(Node &node, const TickTime &time)
{
    if (selfRef(node).isSet()) {
        node.joined = true;
        return;
    }
    const auto known = findRef(node.tables.lookups.daemons, node.settings.name);
    if (node.joined && known.isSet()) {
        return; // a newer process has taken the name
    }
    const bool isCatchingUp = !node.view.caughtUp || node.snapshot.phase != LoadPhase::None;
    const bool isLeaving = node.phase == NodePhase::Draining || node.phase == NodePhase::Drained;
    if (isCatchingUp || isLeaving || node.proposals.contains(node.joinProposal)) {
        return;
    }
    if (node.joined) {
        ++node.incarnation;
        node.joined = false;
    } else if (known.isSet()) {
        raiseIncarnation(node, known);
    }
    proposeJoin(node, time);
}

/** Proposes the next record version once every daemon supports it. The version switches on newer apply behaviour. */
void proposeVersionSwitch(Node &node, const TickTime &time)
{
    const auto next = node.tables.position.recordVersion + 1;
    if (next > limits::recordVersion || !selfRef(node).isSet() || node.proposals.contains(node.versionProposal)) {
        return;
    }
    bool isSupported = true;
    node.tables.daemons.forEach([&](DaemonRef it) {
        isSupported = isSupported && node.tables.daemons.get<DaemonIdentity>(it).maxRecordVersion >= next;
    });
    if (isSupported && isRendezvousChoice(node, "version", time)) {
        node.versionProposal = propose(node, SwitchVersion{next}, time);
    }
}

} // namespace

void membershipSystem(Node &node, const TickTime &time)
{
    receiveHeartbeats(node);
    updateFreshness(node, time);
    ensureJoined(node, time);
    receiveHostLists(node, time);
    proposeFromHostList(node, time);
    proposeVersionSwitch(node, time);
    sendHeartbeats(node, time);
}

} // namespace flamingotally
