#include "systems/worker_link.h"

#include "core/digest.h"
#include "systems/host_list.h"
#include "systems/rendezvous.h"

namespace flamingotally
{

namespace
{

constexpr Milliseconds ownershipInterval{500}; ///< Ownership is worked out anew at least this often.
constexpr std::int64_t driftDivisor = 1'024; ///< Clocks of two hosts differ in rate by less than one part in this.

/** Changes when the set of live daemons, of workers or of listed hosts changes. */
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

/** Row of the line to a host, made when it is new. */
WorkerLinkRef linkNamed(Node &node, const std::string &name)
{
    auto &known = node.workerLinkByName[name];
    if (!node.workerLinks.contains(known)) {
        WorkerLink link;
        link.name = name;
        known = node.workerLinks.insert(std::move(link));
    }
    return known;
}

/** Brings a line up to date with the host list. */
void noteHost(const Node &node, WorkerLink &link)
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

void keepLinkOfWorker(Node &node, WorkerRef worker, const TickTime &time)
{
    if (!ownsWorker(node, worker, time)) {
        return;
    }
    const auto &identity = node.tables.workers.get<WorkerIdentity>(worker);
    const auto ref = linkNamed(node, identity.name);
    auto &link = node.workerLinks.get<WorkerLink>(ref);
    link.owned = true;
    link.worker = worker;
    link.address = identity.address;
    const auto &place = node.tables.workers.get<WorkerLocation>(worker);
    link.domain = node.tables.domains.get<DomainIdentity>(place.domain).name;
    link.rack = node.tables.racks.get<RackIdentity>(place.rack).name;
    noteHost(node, link);
    node.leaseScan.linkOfWorker[worker.index] = ref;
}

/** Keeps a line to a listed host that is not registered, when hashing gives it to this daemon. */
void keepLinkOfHost(Node &node, const HostRow &host, const TickTime &time)
{
    if (host.role != HostRole::Worker || node.tables.lookups.workers.contains(host.name)) {
        return;
    }
    if (!isChosen(node, host.name, time, findRef(node.tables.lookups.domains, host.domain))) {
        return;
    }
    auto &link = node.workerLinks.get<WorkerLink>(linkNamed(node, host.name));
    link.owned = true;
    link.worker = {};
    noteHost(node, link);
}

/** Drops lines to workers that others own, once nothing is under way on them. */
void dropLinks(Node &node)
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

void keepLinks(Node &node, const TickTime &time)
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
    node.tables.workers.forEach([&](WorkerRef it) { keepLinkOfWorker(node, it, time); });
    for (const auto &it : node.hosts) {
        keepLinkOfHost(node, it, time);
    }
    dropLinks(node);
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
    return link.clock + passed - passed / driftDivisor;
}

bool isOver(const Node &node, AttemptNumber attempt)
{
    return attempt < node.tables.position.nextAttempt && !node.tables.lookups.attempts.contains(attempt);
}

} // namespace flamingotally
