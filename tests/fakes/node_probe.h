/** @file node_probe.h Sets up nodes and reads their proposals, for tests of single systems. */
#pragma once

#include "fakes/table_builder.h"
#include "node_func.h"

namespace flamingotally
{

constexpr MonotonicTime probeStart{
    Milliseconds{100'000}}; ///< Time at which the view of a node of makeServingNode() is fresh.

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

/** Returns the time of a tick at a time after probeStart. */
inline TickTime tickAt(Milliseconds sinceStart)
{
    return {probeStart + sinceStart, WallTime{}};
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

/** Makes a node with the tables of a builder that is serving with a fresh view. */
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
    node.view.freshAt = probeStart;
    node.view.lastReadAt = probeStart;
    return node;
}

/** Sets the time of the last heartbeat of a peer, and the offset that it has applied. */
inline void recordPeerHeartbeat(Node &node, const std::string &name, MonotonicTime at, std::uint64_t appliedOffset)
{
    auto &known = node.peerByName[name];
    if (!node.peers.contains(known)) {
        known = node.peers.insert(Peer{});
    }
    auto &peer = node.peers.get<Peer>(known);
    peer.daemon = name;
    peer.incarnation = 1;
    peer.lastReceivedAt = at;
    peer.appliedOffset = appliedOffset;
}

} // namespace flamingotally
