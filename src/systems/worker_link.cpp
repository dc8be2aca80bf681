#include "systems/worker_link.h"

#include "core/digest.h"
#include "systems/host_list.h"
#include "systems/rendezvous.h"

namespace flamingotally
{

namespace
{

constexpr Milliseconds ownershipInterval{500}; ///< Longest time between two updates of ownership.
constexpr std::int64_t maxDriftDivisor = 1'024; ///< Clock rates of two hosts differ by less than 1 / maxDriftDivisor.

/** Returns a digest that changes with the set of live daemons and with the number of workers or listed hosts. */
std::uint64_t ownershipKeyOf(const Node &node, const TickTime &time)
{
    std::string text;
    node.tables.daemons.forEach([&](DaemonRef it) {
        if (isLiveDaemon(node, it, time)) {
            text.append(node.tables.daemons.get<DaemonIdentity>(it).name).append(1, '\0');
        }
    });
    text += std::to_string(node.tables.workers.size()) + '/' + std::to_string(node.tables.workers.capacity());
    text += '/' + std::to_string(node.hosts.size());
    return digestOfBytes(text);
}

/** Returns the link to a host, adding it if needed. */
WorkerLinkRef findOrAddLink(Node &node, const std::string &name)
{
    auto &known = node.workerLinkByName[name];
    if (!node.workerLinks.contains(known)) {
        WorkerLink link;
        link.name = name;
        known = node.workerLinks.insert(std::move(link));
    }
    return known;
}

/** Updates a link from the host list. Keeps the old address and location if the list omits the host. */
void copyHostFields(const Node &node, WorkerLink &link)
{
    const auto *host = findHost(node, link.name);
    link.listed = host != nullptr;
    if (host == nullptr) {
        return;
    }
    link.address = host->address;
    link.domain = host->domain;
    link.rack = host->rack;
    link.leaving = host->leaving;
}

void updateWorkerLink(Node &node, WorkerRef worker, const TickTime &time)
{
    if (!ownsWorker(node, worker, time)) {
        return;
    }
    const auto &identity = node.tables.workers.get<WorkerIdentity>(worker);
    const auto ref = findOrAddLink(node, identity.name);
    auto &link = node.workerLinks.get<WorkerLink>(ref);
    link.owned = true;
    link.worker = worker;
    link.address = identity.address;
    const auto &place = node.tables.workers.get<WorkerLocation>(worker);
    link.domain = node.tables.domains.get<DomainIdentity>(place.domain).name;
    link.rack = node.tables.racks.get<RackIdentity>(place.rack).name;
    copyHostFields(node, link);
    node.leaseScan.linkOfWorker[worker.index] = ref;
}

/** Adds or updates the link to an unregistered listed host, if rendezvous hashing chooses this daemon for it. */
void updateHostLink(Node &node, const HostRow &host, const TickTime &time)
{
    if (host.role != HostRole::Worker || node.tables.lookups.workers.contains(host.name)) {
        return;
    }
    if (!isRendezvousChoice(node, host.name, time, findRef(node.tables.lookups.domains, host.domain))) {
        return;
    }
    auto &link = node.workerLinks.get<WorkerLink>(findOrAddLink(node, host.name));
    link.owned = true;
    link.worker = {};
    copyHostFields(node, link);
}

/** Drops links to workers that other daemons own, once no exchange is in progress on them. */
void dropUnownedLinks(Node &node)
{
    node.workerLinks.forEach([&](WorkerLinkRef it) {
        const auto &link = node.workerLinks.get<WorkerLink>(it);
        if (!link.owned && !link.pollInFlight && !link.ordersInFlight) {
            node.workerLinkByName.erase(link.name);
            node.workerLinks.erase(it);
        }
    });
}

} // namespace

void updateLinks(Node &node, const TickTime &time)
{
    auto &scan = node.leaseScan;
    const auto key = ownershipKeyOf(node, time);
    if (key == scan.ownershipKey && time.now < scan.ownershipAt + ownershipInterval) {
        return;
    }
    scan.ownershipKey = key;
    scan.ownershipAt = time.now;
    scan.dueAt = time.now;
    scan.linkOfWorker.assign(node.tables.workers.capacity(), {});
    node.workerLinks.forEach([&](WorkerLinkRef it) { node.workerLinks.get<WorkerLink>(it).owned = false; });
    node.tables.workers.forEach([&](WorkerRef it) { updateWorkerLink(node, it, time); });
    for (const auto &it : node.hosts) {
        updateHostLink(node, it, time);
    }
    dropUnownedLinks(node);
}

WorkerLinkRef linkOf(const Node &node, WorkerRef worker)
{
    const auto &links = node.leaseScan.linkOfWorker;
    const auto found = worker.index < links.size() ? links[worker.index] : WorkerLinkRef{};
    const bool isOwn = node.workerLinks.contains(found) && node.workerLinks.get<WorkerLink>(found).worker == worker;
    return isOwn ? found : WorkerLinkRef{};
}

WorkerTime earliestWorkerTime(const WorkerLink &link, const TickTime &time)
{
    const auto passed = std::max(Milliseconds::zero(), time.now - link.lastReceivedAt);
    return link.clock + passed - passed / maxDriftDivisor;
}

bool hasAttemptEnded(const Node &node, AttemptNumber attempt)
{
    return attempt < node.tables.position.nextAttempt && !node.tables.lookups.attempts.contains(attempt);
}

} // namespace flamingotally
