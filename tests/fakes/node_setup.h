/** @file node_setup.h Sets up nodes and returns their proposals, for tests that run single systems on one node. */
#pragma once

#include "fakes/table_builder.h"
#include "node_func.h"

namespace flamingotally
{

/**
 * Time by the daemon's clock at which a test starts. The view of a node that makeServingNode() returns is fresh then.
 */
constexpr MonotonicTime testStart{Milliseconds{100'000}};

/** Returns all commands of one type that a node has proposed. */
template<typename CommandT>
std::vector<CommandT> proposalsOf(const Node &node)
{
    std::vector<CommandT> found;
    node.proposals.forEach([&](ProposalRef it) {
        if (const auto *command = std::get_if<CommandT>(&node.proposals.get<Proposal>(it).command)) {
            found.push_back(*command);
        }
    });
    return found;
}

/** Returns the time of a tick that runs `sinceStart` after testStart. */
inline TickTime tickAt(Milliseconds sinceStart)
{
    return {testStart + sinceStart, WallTime{}};
}

/** Adds a daemon to the tables of a builder. */
inline DaemonRef addDaemon(TableBuilder &builder, const std::string &name, DomainRef domain)
{
    DaemonIdentity identity;
    identity.name = name;
    identity.peerAddress = name + ":1";
    identity.domain = domain;
    identity.incarnation = 1;
    return builder.tables.daemons.insert(identity, {});
}

/** Makes a serving node with a fresh view and a copy of a builder's tables. */
inline Node makeServingNode(const TableBuilder &builder, const std::string &name)
{
    Node node;
    node.settings.name = name;
    node.incarnation = 1;
    node.joined = true;
    node.phase = NodePhase::Serving;
    node.tables = builder.tables;
    rebuildLookups(node.tables);
    node.view.caughtUp = true;
    node.view.fresh = true;
    node.view.freshAt = testStart;
    node.view.lastReadAt = testStart;
    return node;
}

/**
 * Records a heartbeat of a peer, and adds the peer if needed.
 * @param node The node that received the heartbeat.
 * @param name Name of the peer.
 * @param receivedAt When the node received the heartbeat.
 * @param appliedOffset Offset up to which the peer has applied the log.
 */
inline void
recordPeerHeartbeat(Node &node, const std::string &name, MonotonicTime receivedAt, std::uint64_t appliedOffset)
{
    auto &known = node.peerByName[name];
    if (!node.peers.contains(known)) {
        known = node.peers.insert(Peer{});
    }
    auto &peer = node.peers.get<Peer>(known);
    peer.daemon = name;
    peer.incarnation = 1;
    peer.lastReceivedAt = receivedAt;
    peer.appliedOffset = appliedOffset;
}

} // namespace flamingotally
