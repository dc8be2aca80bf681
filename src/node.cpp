#include "node_func.h"

#include "systems/rendezvous.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

constexpr std::size_t commandOverheadBytes = 64;
constexpr std::size_t bytesPerPlacement = 24;
constexpr std::size_t bytesPerEnd = 64;

/** Estimates the encoded size of a command, in bytes. */
struct SizeEstimate {
    std::size_t operator()(const SubmitJob &it) const
    {
        return commandOverheadBytes + it.name.size() + it.payload.size() + it.placements.size() * bytesPerPlacement;
    }

    std::size_t operator()(const PlaceTasks &it) const
    {
        return commandOverheadBytes + it.placements.size() * bytesPerPlacement;
    }

    std::size_t operator()(const EndAttempts &it) const
    {
        std::size_t size = commandOverheadBytes;
        for (const auto &end : it.ends) {
            size += bytesPerEnd + end.result.body.size();
        }
        return size;
    }

    std::size_t operator()(const SnapshotChunk &it) const
    {
        return commandOverheadBytes + it.bytes.size();
    }

    std::size_t operator()(const PublishProfile &it) const
    {
        return commandOverheadBytes + it.source.size();
    }

    std::size_t operator()(const auto & /*other*/) const
    {
        return commandOverheadBytes;
    }
};

} // namespace

ProposalRef propose(Node &node, Command command, const TickTime &time, bool urgent, RequestHandle handle)
{
    Proposal proposal;
    proposal.bytes = std::visit(SizeEstimate{}, command);
    proposal.command = std::move(command);
    proposal.urgent = urgent;
    proposal.queuedAt = time.now;
    proposal.handle = handle;
    proposal.order = node.nextProposal++;
    return node.proposals.insert(std::move(proposal));
}

DaemonRef selfRef(const Node &node)
{
    const auto found = findRef(node.tables.lookups.daemons, node.settings.name);
    const bool isOwn = found.isSet() && node.tables.daemons.get<DaemonIdentity>(found).incarnation == node.incarnation;
    return isOwn ? found : DaemonRef{};
}

bool isLiveDaemon(const Node &node, DaemonRef daemon, const TickTime &time)
{
    if (!node.tables.daemons.contains(daemon) || node.tables.daemons.get<DaemonState>(daemon).leaving) {
        return false;
    }
    const auto &identity = node.tables.daemons.get<DaemonIdentity>(daemon);
    if (identity.name == node.settings.name) {
        return identity.incarnation == node.incarnation && node.phase == NodePhase::Serving;
    }
    const auto known = findRef(node.peerByName, identity.name);
    if (!known.isSet()) {
        return false;
    }
    const auto &peer = node.peers.get<Peer>(known);
    return !peer.leaving && peer.incarnation == identity.incarnation
        && time.now - peer.lastReceivedAt <= node.settings.peerTimeout;
}

DaemonRef ownerOf(const Node &node, WorkerRef worker, const TickTime &time)
{
    const auto &identity = node.tables.workers.get<WorkerIdentity>(worker);
    return rendezvousDaemon(node, identity.name, time, node.tables.workers.get<WorkerLocation>(worker).domain);
}

bool ownsWorker(const Node &node, WorkerRef worker, const TickTime &time)
{
    const auto self = selfRef(node);
    return self.isSet() && ownerOf(node, worker, time) == self;
}

LogTime estimateLogTime(const Node &node, const TickTime &time)
{
    const auto passed = time.now - node.view.entryReceivedAt;
    return node.tables.position.time + std::max(passed, Milliseconds::zero());
}

AttemptLink &attemptLinkOf(Node &node, AttemptNumber attempt)
{
    const auto [it, isNew] = node.attemptLinkByNumber.try_emplace(attempt);
    if (isNew) {
        AttemptLink link;
        link.attempt = attempt;
        it->second = node.attemptLinks.insert(link);
    }
    return node.attemptLinks.get<AttemptLink>(it->second);
}

void dropAttemptLink(Node &node, AttemptNumber attempt)
{
    if (const auto it = node.attemptLinkByNumber.find(attempt); it != node.attemptLinkByNumber.end()) {
        node.attemptLinks.erase(it->second);
        node.attemptLinkByNumber.erase(it);
    }
}

void countRefusal(Node &node, Reason reason)
{
    ++node.counters.refusals[static_cast<std::size_t>(reason)];
}

void countRetry(Node &node, RetryReason reason)
{
    ++node.counters.retries[static_cast<std::size_t>(reason)];
}

} // namespace flamingotally
