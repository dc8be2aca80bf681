#include "systems/backoff.h"
#include "systems/host_list.h"
#include "systems/worker_link.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

constexpr Milliseconds syncBackoff{100};
constexpr Milliseconds maxSyncBackoff{2'000};
constexpr std::size_t maxEndsPerCommand = 64;
constexpr std::size_t maxEndBytesPerCommand = 32 * 1024;

void recordFailure(Node &node, WorkerLink &link, const TickTime &time)
{
    ++link.failures;
    if (link.unreachableSince == MonotonicTime{}) {
        link.unreachableSince = time.now;
    }
    link.nextTryAt = time.now + backoffPause(node.random, syncBackoff, maxSyncBackoff, link.failures);
    countRetry(node, RetryReason::WorkerUnreachable);
}

/** Resets the parts of a link that belong to an earlier boot of the worker. */
void resetForBoot(WorkerLink &link, std::uint64_t bootId)
{
    link.bootId = bootId;
    link.clock = {};
    link.ackedReport = 0;
    link.seenReport = 0;
    link.pendingEnds.clear();
    link.active.clear();
}

/** Marks each attempt that a worker reports as running as confirmed, and stores the reported usage of attempts. */
void updateActive(Node &node, WorkerLink &link, const WorkerReport &report)
{
    link.active = report.active;
    for (const auto number : report.active) {
        if (!node.tables.lookups.attempts.contains(number)) {
            continue;
        }
        auto &attempt = attemptLinkOf(node, number);
        node.counters.starts += attempt.confirmed ? 0 : 1;
        attempt.confirmed = true;
    }
    for (const auto &[number, used] : report.usage) {
        if (node.tables.lookups.attempts.contains(number)) {
            attemptLinkOf(node, number).usage = used;
        }
    }
}

/** Stores those ends of attempts in a report that this daemon has not received in an earlier report. */
void collectNewEnds(WorkerLink &link, const WorkerReport &report)
{
    for (const auto &it : report.ends) {
        if (it.report > link.seenReport) {
            link.pendingEnds.push_back(it);
            link.seenReport = it.report;
        }
    }
}

void processReport(Node &node, const WorkerReport &report, const TickTime &time)
{
    const auto known = findRef(node.workerLinkByName, report.worker);
    if (!node.workerLinks.contains(known)) {
        return;
    }
    auto &link = node.workerLinks.get<WorkerLink>(known);
    (report.hadWait ? link.pollInFlight : link.ordersInFlight) = false;
    if (report.failed) {
        recordFailure(node, link, time);
        return;
    }
    if (report.bootId < link.bootId) {
        return;
    }
    link.unreachableSince = {};
    link.failures = 0;
    link.nextTryAt = {};
    if (report.bootId > link.bootId) {
        resetForBoot(link, report.bootId);
    }
    collectNewEnds(link, report);
    if (report.clock >= link.clock) {
        link.clock = report.clock;
        link.lastReceivedAt = report.receivedAt;
        link.total = report.total;
        updateActive(node, link, report);
    }
}

/** Returns true if the tables match the host list and a worker's last report, or contain a later boot of the worker. */
bool isRegistrationCurrent(const Node &node, WorkerRef worker, const WorkerLink &link)
{
    const auto &identity = node.tables.workers.get<WorkerIdentity>(worker);
    const auto &place = node.tables.workers.get<WorkerLocation>(worker);
    const bool isSame = identity.bootId == link.bootId && identity.address == link.address
        && node.tables.workers.get<WorkerCapacity>(worker).total == link.total
        && node.tables.domains.get<DomainIdentity>(place.domain).name == link.domain
        && node.tables.racks.get<RackIdentity>(place.rack).name == link.rack;
    return isSame || identity.bootId > link.bootId;
}

void proposeRegistration(Node &node, const WorkerLink &link, const TickTime &time)
{
    const auto worker = findRef(node.tables.lookups.workers, link.name);
    if (!link.owned || link.bootId == 0 || (!link.listed && !worker.isSet())) {
        return;
    }
    if (worker.isSet() && isRegistrationCurrent(node, worker, link)) {
        return;
    }
    auto &proposal = node.hostProposals[link.name];
    if (node.proposals.contains(proposal)) {
        return;
    }
    const RegisterWorker command{link.name, link.address, link.domain, link.rack, link.total, link.bootId};
    proposal = propose(node, command, time, true);
}

/** Acknowledges reported ends, in order, up to the first that has not been applied from the log. */
void acknowledgeEnds(const Node &node, WorkerLink &link)
{
    const auto isPending = [&](const ReportedEnd &it) {
        return !hasAttemptEnded(node, it.end.attempt);
    };
    const auto firstPending = std::ranges::find_if(link.pendingEnds, isPending);
    if (firstPending != link.pendingEnds.begin()) {
        link.ackedReport = std::prev(firstPending)->report;
        link.pendingEnds.erase(link.pendingEnds.begin(), firstPending);
    }
}

/** Batches the reported ends of all workers into commands of bounded size. */
class EndBatcher
{
public:
    EndBatcher(Node &node, const TickTime &time) : m_node(node), m_time(time)
    {
    }

    void add(const AttemptEnd &end)
    {
        m_bytes += end.result.body.size();
        m_command.ends.push_back(end);
        if (m_command.ends.size() >= maxEndsPerCommand || m_bytes >= maxEndBytesPerCommand) {
            flush();
        }
    }

    /** Proposes the collected ends, and stores the proposal with each attempt. */
    void flush()
    {
        if (m_command.ends.empty()) {
            return;
        }
        std::vector<AttemptNumber> numbers;
        for (const auto &it : m_command.ends) {
            numbers.push_back(it.attempt);
        }
        const auto proposal = propose(m_node, std::move(m_command), m_time, true);
        for (const auto it : numbers) {
            attemptLinkOf(m_node, it).endProposal = proposal;
        }
        m_command = {};
        m_bytes = 0;
    }

private:
    Node &m_node;
    TickTime m_time;
    EndAttempts m_command;
    std::size_t m_bytes = 0;
};

/** Marks the attempts whose ends one worker has reported. Adds the ends without a pending proposal to the batch. */
void collectEnds(Node &node, const WorkerLink &link, EndBatcher &batcher)
{
    for (const auto &it : link.pendingEnds) {
        const auto attempt = findRef(node.tables.lookups.attempts, it.end.attempt);
        if (!attempt.isSet() || node.tables.attempts.get<AttemptIdentity>(attempt).bootId != link.bootId) {
            continue;
        }
        auto &row = attemptLinkOf(node, it.end.attempt);
        row.ended = true;
        if (!node.proposals.contains(row.endProposal)) {
            batcher.add(it.end);
        }
    }
}

} // namespace

void receiveWorkerReports(Node &node, const TickTime &time)
{
    if (!node.inbox.workerReports.empty()) {
        node.leaseScan.dueAt = time.now;
    }
    for (const auto &it : node.inbox.workerReports) {
        processReport(node, it, time);
    }
    node.inbox.workerReports.clear();
}

void proposeFromReports(Node &node, const TickTime &time)
{
    EndBatcher batcher(node, time);
    node.workerLinks.forEach([&](WorkerLinkRef it) {
        auto &link = node.workerLinks.get<WorkerLink>(it);
        acknowledgeEnds(node, link);
        proposeRegistration(node, link, time);
        collectEnds(node, link, batcher);
    });
    batcher.flush();
}

} // namespace flamingotally
