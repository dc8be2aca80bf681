/** @file node_probe.h Nodes set up by hand, and what they decided, for tests of single systems. */
#pragma once

#include "fakes/table_builder.h"
#include "node_func.h"

namespace flamingotally
{

constexpr MonotonicTime probeStart{Milliseconds{100'000}}; ///< When a node of makeServingNode() was last fresh.

/** All commands of one kind that a node has proposed. */
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

/** Time of a tick, counted from the start. */
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

/** A node over the tables of a builder that serves with a fresh view. */
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

/** Has a peer of a node be heard at a time, with what it has applied. */
inline void hearPeer(Node &node, const std::string &name, MonotonicTime at, std::uint64_t appliedOffset)
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
