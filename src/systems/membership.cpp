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

/** Gives this process an incarnation above the one that the log knows, before it joins. */
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
 * Joins the cell, and joins anew when the others have removed this daemon meanwhile. A process whose name was taken
 * over by a newer one stays away.
 */
void keepJoined(Node &node, const TickTime &time)
{
    if (selfRef(node).isSet()) {
        node.joined = true;
        return;
    }
    const auto known = findRef(node.tables.lookups.daemons, node.settings.name);
    if (node.joined && known.isSet()) {
        return; // a newer process has taken the name
    }
    const bool isEarly = !node.view.caughtUp || node.snapshot.phase != LoadPhase::None;
    const bool isLeaving = node.phase == NodePhase::Draining || node.phase == NodePhase::Drained;
    if (isEarly || isLeaving || node.proposals.contains(node.joinProposal)) {
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

/** Switches on newer apply behaviour once every daemon supports it. */
void proposeVersion(Node &node, const TickTime &time)
{
    const auto next = node.tables.position.recordVersion + 1;
    if (next > limits::recordVersion || !selfRef(node).isSet() || node.proposals.contains(node.versionProposal)) {
        return;
    }
    bool isSupported = true;
    node.tables.daemons.forEach([&](DaemonRef it) {
        isSupported = isSupported && node.tables.daemons.get<DaemonIdentity>(it).maxRecordVersion >= next;
    });
    if (isSupported && isChosen(node, "version", time)) {
        node.versionProposal = propose(node, SwitchVersion{next}, time);
    }
}

} // namespace

void membershipSystem(Node &node, const TickTime &time)
{
    takeHeartbeats(node);
    judgeView(node, time);
    keepJoined(node, time);
    takeHostLists(node, time);
    proposeFromHostList(node, time);
    proposeVersion(node, time);
    sendHeartbeats(node, time);
}

} // namespace flamingotally
