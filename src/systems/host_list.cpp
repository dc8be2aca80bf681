#include "systems/host_list.h"

#include "systems/rendezvous.h"

#include <algorithm>
#include <optional>

namespace flamingotally
{

namespace
{

/** The list lags, so a host counts as gone only after the list has omitted it for this time. */
constexpr Milliseconds removalTimeout{10'000};

/** Stores a host list that was read. An empty list is a fault of the platform and is ignored. */
void processHostList(Node &node, HostListRead read, const TickTime &time)
{
    if (read.failed || read.hosts.empty()) {
        return;
    }
    node.hosts = std::move(read.hosts);
    std::ranges::sort(node.hosts, {}, &HostRow::name);
    node.hostsReceivedAt = time.now;
    node.hostsChecked = false;
}

/** Records whether a host of the tables is missing from the list, and since when. */
void updateMissingSince(Node &node, const std::string &name, const TickTime &time)
{
    if (findHost(node, name) != nullptr) {
        node.missingSince.erase(name);
    } else {
        node.missingSince.emplace(name, time.now);
    }
}

bool isGone(const Node &node, const std::string &name, const TickTime &time)
{
    const auto it = node.missingSince.find(name);
    return it != node.missingSince.end() && time.now - it->second >= removalTimeout;
}

/** Proposes a command about a host, unless an earlier one is still pending. */
void proposeForHost(Node &node, const std::string &name, Command command, const TickTime &time)
{
    auto &proposal = node.hostProposals[name];
    if (!node.proposals.contains(proposal)) {
        proposal = propose(node, std::move(command), time, true);
    }
}

/**
 * Returns true if this daemon proposes the changes of a worker that follow from the host list: this daemon owns the
 * worker, or the owner cannot reach the platform and so can neither read the list nor append to the log.
 */
bool mayProposeFor(const Node &node, WorkerRef worker, const TickTime &time)
{
    const auto owner = ownerOf(node, worker, time);
    const auto self = selfRef(node);
    if (!owner.isSet() || owner == self) {
        return owner == self;
    }
    const auto peer = findRef(node.peerByName, node.tables.daemons.get<DaemonIdentity>(owner).name);
    return node.peers.contains(peer) && !node.peers.get<Peer>(peer).readsLog && !node.view.lastReadFailed;
}

/** Reachability of a worker from this daemon. */
enum class Reachability : std::uint8_t {
    Unknown, ///< No exchange has succeeded yet, or exchanges have been failing for less than the time-out.
    Reachable,
    Unreachable,
};

Reachability reachabilityOf(const Node &node, const std::string &worker, const TickTime &time)
{
    const auto link = findRef(node.workerLinkByName, worker);
    if (!node.workerLinks.contains(link)) {
        return Reachability::Unknown;
    }
    const auto &row = node.workerLinks.get<WorkerLink>(link);
    if (row.unreachableSince == MonotonicTime{}) {
        return row.lastReceivedAt == MonotonicTime{} ? Reachability::Unknown : Reachability::Reachable;
    }
    return time.now - row.unreachableSince >= node.settings.workerTimeout ? Reachability::Unreachable
                                                                          : Reachability::Unknown;
}

/**
 * Returns the service state that a worker should have, or nothing if this daemon cannot determine it. An unreachable
 * worker should be leaving, so that it gets no new tasks.
 */
std::optional<WorkerService> wantedService(const Node &node, WorkerRef worker, const TickTime &time)
{
    const auto &name = node.tables.workers.get<WorkerIdentity>(worker).name;
    const auto *host = findHost(node, name);
    const auto reachability = reachabilityOf(node, name, time);
    if (host == nullptr || host->leaving
        || (reachability == Reachability::Unreachable && ownsWorker(node, worker, time))) {
        return WorkerService::Leaving;
    }
    return reachability == Reachability::Reachable ? std::optional(WorkerService::Live) : std::nullopt;
}

void proposeForWorker(Node &node, WorkerRef worker, const TickTime &time)
{
    const auto &name = node.tables.workers.get<WorkerIdentity>(worker).name;
    const auto service = node.tables.workers.get<WorkerState>(worker).service;
    const auto wanted = wantedService(node, worker, time);
    const bool isLeaving = service == WorkerService::Leaving;
    const bool isEmpty = node.tables.workers.get<WorkerCapacity>(worker).attempts == 0;
    const bool mayRemove = isLeaving && isEmpty && isGone(node, name, time);
    const bool isChange = wanted && (*wanted == WorkerService::Leaving) != isLeaving;
    if ((!isChange && !mayRemove) || !mayProposeFor(node, worker, time)) {
        return;
    }
    if (mayRemove) {
        proposeForHost(node, name, RemoveWorker{worker}, time);
    } else {
        proposeForHost(node, name, SetWorkerService{worker, *wanted}, time);
    }
}

/** Returns true if no heartbeat of a daemon has been received for two peer time-outs. */
bool isDaemonUnreachable(const Node &node, const std::string &name, const TickTime &time)
{
    const auto peer = findRef(node.peerByName, name);
    return !node.peers.contains(peer)
        || time.now - node.peers.get<Peer>(peer).lastReceivedAt > 2 * node.settings.peerTimeout;
}

/**
 * Proposes to remove a daemon that has left or whose host is gone. A daemon that is only unreachable is not removed: it
 * is possibly partitioned and still renews leases in its own failure domain.
 */
void proposeForDaemon(Node &node, DaemonRef daemon, const TickTime &time)
{
    const auto &identity = node.tables.daemons.get<DaemonIdentity>(daemon);
    const bool hasLeft = node.tables.daemons.get<DaemonState>(daemon).leaving || isGone(node, identity.name, time);
    if (identity.name == node.settings.name || !hasLeft || !isDaemonUnreachable(node, identity.name, time)) {
        return;
    }
    if (isRendezvousChoice(node, identity.name, time)) {
        proposeForHost(node, identity.name, LeaveDaemon{identity.name, identity.incarnation, true}, time);
    }
}

/** Removes proposals whose result is known. */
void dropSettledProposals(Node &node)
{
    absl::erase_if(node.hostProposals, [&](const auto &it) { return !node.proposals.contains(it.second); });
}

} // namespace

void receiveHostLists(Node &node, const TickTime &time)
{
    for (auto &it : node.inbox.hostLists) {
        processHostList(node, std::move(it), time);
    }
    node.inbox.hostLists.clear();
    if (node.hostsRequestedAt == MonotonicTime{}
        || time.now >= node.hostsRequestedAt + node.settings.hostListInterval) {
        node.outbox.mustReadHosts = true;
        node.hostsRequestedAt = time.now;
    }
    wakeBy(node, node.hostsRequestedAt + node.settings.hostListInterval);
}

const HostRow *findHost(const Node &node, std::string_view name)
{
    const auto it = std::ranges::lower_bound(node.hosts, name, {}, &HostRow::name);
    return it != node.hosts.end() && it->name == name ? &*it : nullptr;
}

bool isHostListFresh(const Node &node, const TickTime &time)
{
    return node.hostsReceivedAt != MonotonicTime{} && time.now - node.hostsReceivedAt <= node.settings.fence;
}

bool isLeavingOrMissing(const Node &node, const std::string &name)
{
    const auto *host = findHost(node, name);
    return (host != nullptr && host->leaving) || node.missingSince.contains(name);
}

void proposeFromHostList(Node &node, const TickTime &time)
{
    if (node.hostsChecked || node.hosts.empty() || !selfRef(node).isSet()) {
        return;
    }
    node.hostsChecked = true;
    dropSettledProposals(node);
    node.tables.workers.forEach([&](WorkerRef it) {
        updateMissingSince(node, node.tables.workers.get<WorkerIdentity>(it).name, time);
        proposeForWorker(node, it, time);
    });
    node.tables.daemons.forEach([&](DaemonRef it) {
        updateMissingSince(node, node.tables.daemons.get<DaemonIdentity>(it).name, time);
        proposeForDaemon(node, it, time);
    });
}

} // namespace flamingotally
