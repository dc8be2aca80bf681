#include "systems/worker_order.h"

#include "attempt_func.h"
#include "systems/host_list.h"
#include "systems/worker_link.h"

namespace flamingotally
{

namespace
{

constexpr Milliseconds startInterval{500}; ///< Time between two sends of the same start order.
constexpr Milliseconds stopInterval{1'000}; ///< Time between two sends of the same stop order.
constexpr Milliseconds pollInterval{20}; ///< Shortest time between two long polls of a worker.
constexpr std::int64_t renewalsPerLease = 3; ///< Number of renewals during the time of one lease.

/** Returns true if orders can be sent over a link now. */
bool maySendOrders(const WorkerLink &link)
{
    return link.owned && !link.ordersInFlight && link.bootId != 0 && link.unreachableSince == MonotonicTime{};
}

/** Returns true if the applied state of a worker and of its failure domain permits new starts. */
bool isInService(const Tables &tables, WorkerRef worker)
{
    const auto domain = tables.workers.get<WorkerLocation>(worker).domain;
    return tables.domains.get<DomainState>(domain).service == DomainService::In
        && tables.workers.get<WorkerState>(worker).service != WorkerService::Leaving;
}

/** Returns true if the team of an attempt is within its limit, which may have been lowered since the placement. */
bool isWithinLimit(const Tables &tables, AttemptRef attempt)
{
    const auto task = tables.attempts.get<AttemptIdentity>(attempt).task;
    const auto team = tables.jobs.get<JobIdentity>(tables.tasks.get<TaskIdentity>(task).job).team;
    return tables.teams.get<TeamUsage>(team).running.fitsInto(tables.teams.get<TeamPolicy>(team).limit);
}

/**
 * Returns true if this daemon may renew the lease of an attempt. It never does after it has read the lapsing mark of
 * the attempt. With a stale view it does so only if the profile keeps work in its failure domain, and this daemon
 * is in that domain.
 */
bool mayRenew(const Node &node, AttemptRef attempt)
{
    if (node.tables.attempts.get<AttemptState>(attempt).lapsing) {
        return false;
    }
    const bool keepsWhenCutOff = profileSpecOf(node.tables, attempt).whenCutOff == CutOffRule::Keep;
    return node.view.fresh || (keepsWhenCutOff && isInDomainOf(node.tables, attempt, selfRef(node)));
}

bool hasOrders(const WorkerSync &sync)
{
    return !sync.starts.empty() || !sync.renewals.empty() || !sync.stops.empty();
}

WorkerSync makeSync(const WorkerLink &link)
{
    WorkerSync sync;
    sync.worker = link.name;
    sync.address = link.address;
    sync.bootId = link.bootId;
    sync.ackedReport = link.ackedReport;
    sync.seenReport = link.seenReport;
    return sync;
}

} // namespace

OrderCollector::OrderCollector(Node &node, const TickTime &time) : m_node(node), m_time(time)
{
    m_syncs.resize(node.workerLinks.capacity());
}

WorkerSync &OrderCollector::syncOf(WorkerLinkRef ref)
{
    return m_syncs[ref.index];
}

void OrderCollector::addIfDue(AttemptRef attempt, WorkerLinkRef ref)
{
    const auto &link = m_node.workerLinks.get<WorkerLink>(ref);
    const auto &identity = m_node.tables.attempts.get<AttemptIdentity>(attempt);
    if (!maySendOrders(link) || identity.bootId != link.bootId) {
        return;
    }
    auto &row = attemptLinkOf(m_node, identity.number);
    if (row.ended) {
        return;
    }
    auto &sync = syncOf(ref);
    const auto &state = m_node.tables.attempts.get<AttemptState>(attempt);
    if (state.stop != StopCause::None) {
        addStop(attempt, row, sync);
    } else if (!row.confirmed && m_node.view.fresh && !state.lapsing) {
        if (!isInService(m_node.tables, identity.worker) || !isWithinLimit(m_node.tables, attempt)) {
            addRevocation(attempt, row, sync);
        } else if (isHostListFresh(m_node, m_time) && !isLeavingOrMissing(m_node, link.name)) {
            addStart(attempt, link, row, sync);
        }
    }
    if (row.confirmed && mayRenew(m_node, attempt)) {
        addRenewal(attempt, link, row, sync);
    }
}

void OrderCollector::addStart(AttemptRef attempt, const WorkerLink &link, AttemptLink &row, WorkerSync &sync)
{
    if (row.startSentAt != MonotonicTime{}) {
        if (m_time.now < row.startSentAt + startInterval) {
            return;
        }
        countRetry(m_node, RetryReason::StartUnconfirmed);
    }
    const auto &tables = m_node.tables;
    const auto &identity = tables.attempts.get<AttemptIdentity>(attempt);
    const auto &task = tables.tasks.get<TaskIdentity>(identity.task);
    const auto &spec = tables.jobs.get<JobSpec>(task.job);
    const auto earliest = earliestWorkerTime(link, m_time);
    StartOrder order;
    order.attempt = identity.number;
    order.request = tables.jobs.get<JobIdentity>(task.job).request;
    order.ordinal = task.ordinal;
    order.reserved = tables.attempts.get<AttemptState>(attempt).reserved;
    order.payload = spec.payload;
    order.notAfter = earliest + m_node.settings.startSlack;
    order.leaseUntil = earliest + spec.profileSpec.lease;
    sync.starts.push_back(std::move(order));
    row.startSentAt = m_time.now;
    row.renewedAt = m_time.now;
}

void OrderCollector::addRevocation(AttemptRef attempt, AttemptLink &row, WorkerSync &sync)
{
    if (row.stopSentAt != MonotonicTime{} && m_time.now < row.stopSentAt + stopInterval) {
        return;
    }
    StopOrder order;
    order.attempt = m_node.tables.attempts.get<AttemptIdentity>(attempt).number;
    order.cause = StopCause::Drained;
    order.onlyBeforeStart = true;
    sync.stops.push_back(order);
    row.stopSentAt = m_time.now;
}

void OrderCollector::addRenewal(AttemptRef attempt, const WorkerLink &link, AttemptLink &row, WorkerSync &sync)
{
    const auto lease = profileSpecOf(m_node.tables, attempt).lease;
    if (row.renewedAt != MonotonicTime{} && m_time.now < row.renewedAt + lease / renewalsPerLease) {
        return;
    }
    const auto number = m_node.tables.attempts.get<AttemptIdentity>(attempt).number;
    sync.renewals.push_back({number, earliestWorkerTime(link, m_time) + lease});
    row.renewedAt = m_time.now;
}

void OrderCollector::addStop(AttemptRef attempt, AttemptLink &row, WorkerSync &sync)
{
    if (row.stopSentAt != MonotonicTime{} && m_time.now < row.stopSentAt + stopInterval) {
        return;
    }
    const auto cause = m_node.tables.attempts.get<AttemptState>(attempt).stop;
    const bool isMoved = cause == StopCause::Preempted || cause == StopCause::Drained;
    StopOrder order;
    order.attempt = m_node.tables.attempts.get<AttemptIdentity>(attempt).number;
    order.cause = cause;
    order.checkpoint = isMoved && profileSpecOf(m_node.tables, attempt).checkpoint;
    sync.stops.push_back(order);
    row.stopSentAt = m_time.now;
}

void OrderCollector::stopEndedAttempts(WorkerLinkRef ref)
{
    auto &link = m_node.workerLinks.get<WorkerLink>(ref);
    const bool isTooEarly = link.straysStoppedAt != MonotonicTime{} && m_time.now < link.straysStoppedAt + stopInterval;
    if (!maySendOrders(link) || isTooEarly) {
        return;
    }
    for (const auto it : link.active) {
        if (hasAttemptEnded(m_node, it)) {
            syncOf(ref).stops.push_back({it, StopCause::Cancelled, false, false});
            link.straysStoppedAt = m_time.now;
        }
    }
}

void OrderCollector::sendOrders(WorkerLink &link, WorkerSync &sync)
{
    const bool isUnknown = link.lastReceivedAt == MonotonicTime{} || link.unreachableSince != MonotonicTime{};
    const bool isContactCheck = isUnknown && m_time.now >= link.nextTryAt;
    if (link.ordersInFlight || (!hasOrders(sync) && !isContactCheck)) {
        return;
    }
    auto orders = std::move(sync);
    sync = makeSync(link);
    sync.starts = std::move(orders.starts);
    sync.renewals = std::move(orders.renewals);
    sync.stops = std::move(orders.stops);
    m_node.outbox.workerSyncs.push_back(std::move(sync));
    link.ordersInFlight = true;
    link.orderedAt = m_time.now;
}

void OrderCollector::sendPoll(WorkerLink &link)
{
    const bool isReachable = link.lastReceivedAt != MonotonicTime{} && link.unreachableSince == MonotonicTime{};
    if (link.pollInFlight || !isReachable) {
        return;
    }
    if (link.polledAt != MonotonicTime{} && m_time.now < link.polledAt + pollInterval) {
        m_node.leaseScan.dueAt = std::min(m_node.leaseScan.dueAt, link.polledAt + pollInterval);
        return;
    }
    auto sync = makeSync(link);
    sync.wait = m_node.settings.workerPoll;
    m_node.outbox.workerSyncs.push_back(std::move(sync));
    link.pollInFlight = true;
    link.polledAt = m_time.now;
}

void OrderCollector::send()
{
    m_node.workerLinks.forEach([&](WorkerLinkRef it) {
        auto &link = m_node.workerLinks.get<WorkerLink>(it);
        if (!link.owned) {
            return;
        }
        sendOrders(link, syncOf(it));
        sendPoll(link);
        if (link.nextTryAt > m_time.now) {
            m_node.leaseScan.dueAt = std::min(m_node.leaseScan.dueAt, link.nextTryAt);
        }
    });
}

} // namespace flamingotally
