#include "systems/host_list.h"

#include "systems/rendezvous.h"

#include <algorithm>
#include <optional>

namespace flamingotally
{

namespace
{

constexpr Milliseconds goneAfter{10'000}; ///< A host that the lagging list omits for this long is gone.

/** Keeps a list that was read. A list of no hosts at all is a fault of the platform and not believed. */
void takeHostList(Node &node, HostListRead read, const TickTime &time)
{
    if (read.failed || read.hosts.empty()) {
        return;
    }
    node.hosts = std::move(read.hosts);
    std::ranges::sort(node.hosts, {}, &HostRow::name);
    node.hostsReceivedAt = time.now;
    node.hostsChecked = false;
}

/** Notes since when hosts that the tables know are missing on the list. */
void noteMissing(Node &node, const std::string &name, const TickTime &time)
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
    return it != node.missingSince.end() && time.now - it->second >= goneAfter;
}

/** Proposes a command about a host, unless one is under way. */
void proposeForHost(Node &node, const std::string &name, Command command, const TickTime &time)
{
    auto &proposal = node.hostProposals[name];
    if (!node.proposals.contains(proposal)) {
        proposal = propose(node, std::move(command), time, true);
    }
}

/**
 * Tells whether this daemon proposes what the list says of a worker: as its owner, or because its owner cannot reach
 * the platform and so knows neither the list nor a way to say so.
 */
bool speaksFor(const Node &node, WorkerRef worker, const TickTime &time)
{
    const auto owner = ownerOf(node, worker, time);
    const auto self = selfRef(node);
    if (!owner.isSet() || owner == self) {
        return owner == self;
    }
    const auto peer = findRef(node.peerByName, node.tables.daemons.get<DaemonIdentity>(owner).name);
    return node.peers.contains(peer) && !node.peers.get<Peer>(peer).readsLog && !node.view.lastReadFailed;
}

/** How this daemon's exchanges with a worker go. */
enum class Reach : std::uint8_t {
    Unknown, ///< None has been answered or has failed for long.
    Reached,
    Lost,
};

Reach reachOf(const Node &node, const std::string &worker, const TickTime &time)
{
    const auto link = findRef(node.workerLinkByName, worker);
    if (!node.workerLinks.contains(link)) {
        return Reach::Unknown;
    }
    const auto &row = node.workerLinks.get<WorkerLink>(link);
    if (row.unreachableSince == MonotonicTime{}) {
        return row.lastReceivedAt == MonotonicTime{} ? Reach::Unknown : Reach::Reached;
    }
    return time.now - row.unreachableSince >= node.settings.workerTimeout ? Reach::Lost : Reach::Unknown;
}

/** Service that a worker should be in; nothing when this daemon cannot tell. Out of reach it takes no new task. */
std::optional<WorkerService> wantedService(const Node &node, WorkerRef worker, const TickTime &time)
{
    const auto &name = node.tables.workers.get<WorkerIdentity>(worker).name;
    const auto *host = findHost(node, name);
    const auto reach = reachOf(node, name, time);
    if (host == nullptr || host->leaving || (reach == Reach::Lost && ownsWorker(node, worker, time))) {
        return WorkerService::Leaving;
    }
    return reach == Reach::Reached ? std::optional(WorkerService::Live) : std::nullopt;
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
    if ((!isChange && !mayRemove) || !speaksFor(node, worker, time)) {
        return;
    }
    if (mayRemove) {
        proposeForHost(node, name, RemoveWorker{worker}, time);
    } else {
        proposeForHost(node, name, SetWorkerService{worker, *wanted}, time);
    }
}

/** Tells whether a daemon was not heard for several timeouts. */
bool isSilent(const Node &node, const std::string &name, const TickTime &time)
{
    const auto peer = findRef(node.peerByName, name);
    return !node.peers.contains(peer)
        || time.now - node.peers.get<Peer>(peer).lastReceivedAt > 2 * node.settings.peerTimeout;
}

/**
 * Proposes to drop a daemon that has left or whose host is gone. One that is merely silent stays: it may be cut off
 * and still renew leases that its domain keeps.
 */
void proposeForDaemon(Node &node, DaemonRef daemon, const TickTime &time)
{
    const auto &identity = node.tables.daemons.get<DaemonIdentity>(daemon);
    const bool hasLeft = node.tables.daemons.get<DaemonState>(daemon).leaving || isGone(node, identity.name, time);
    if (identity.name == node.settings.name || !hasLeft || !isSilent(node, identity.name, time)) {
        return;
    }
    if (isChosen(node, identity.name, time)) {
        proposeForHost(node, identity.name, LeaveDaemon{identity.name, identity.incarnation, true}, time);
    }
}

/** Forgets proposals whose result is known. */
void dropSettledProposals(Node &node)
{
    absl::erase_if(node.hostProposals, [&](const auto &it) { return !node.proposals.contains(it.second); });
}

} // namespace

void takeHostLists(Node &node, const TickTime &time)
{
    for (auto &it : node.inbox.hostLists) {
        takeHostList(node, std::move(it), time);
    }
    node.inbox.hostLists.clear();
    if (node.hostsReadAt == MonotonicTime{} || time.now >= node.hostsReadAt + node.settings.hostListInterval) {
        node.outbox.readHosts = true;
        node.hostsReadAt = time.now;
    }
    wakeBy(node, node.hostsReadAt + node.settings.hostListInterval);
}

const HostRow *findHost(const Node &node, std::string_view name)
{
    const auto it = std::ranges::lower_bound(node.hosts, name, {}, &HostRow::name);
    return it != node.hosts.end() && it->name == name ? &*it : nullptr;
}

bool knowsHosts(const Node &node, const TickTime &time)
{
    return node.hostsReceivedAt != MonotonicTime{} && time.now - node.hostsReceivedAt <= node.settings.fence;
}

bool leavesByList(const Node &node, const std::string &name)
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
        noteMissing(node, node.tables.workers.get<WorkerIdentity>(it).name, time);
        proposeForWorker(node, it, time);
    });
    node.tables.daemons.forEach([&](DaemonRef it) {
        noteMissing(node, node.tables.daemons.get<DaemonIdentity>(it).name, time);
        proposeForDaemon(node, it, time);
    });
}

} // namespace flamingotally
