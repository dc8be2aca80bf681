#include "node_func.h"
#include "systems/backoff.h"
#include "systems/systems.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

constexpr Milliseconds resendBackoff{100}; ///< Backoff before the first resend; doubles with each failure.
constexpr Milliseconds maxResendBackoff{2'000};
constexpr Milliseconds oneSecond{1'000};

/** Sends or resends the batch in flight. */
void sendBatch(Node &node, const TickTime &time)
{
    auto &inFlight = *node.inFlight;
    inFlight.sentAt = time.now;
    inFlight.resendAt = time.now + node.settings.appendTimeout * 2;
    node.outbox.append = inFlight.batch;
    ++node.counters.appends;
}

/** Requeues the proposals of a batch that is certain not to have been stored. */
void requeueBatch(Node &node)
{
    for (const auto it : node.inFlight->proposals) {
        if (node.proposals.contains(it)) {
            node.proposals.get<Proposal>(it).phase = ProposalPhase::Queued;
        }
    }
    node.inFlight.reset();
}

void handleAppendResponse(Node &node, const AppendResponse &response, const TickTime &time)
{
    if (!node.inFlight || response.sequence != node.inFlight->batch.sequence) {
        return;
    }
    auto &inFlight = *node.inFlight;
    if (response.outcome == AppendOutcome::Stored) {
        inFlight.isStored = true;
        inFlight.failures = 0;
        return;
    }
    ++inFlight.failures;
    inFlight.resendAt = time.now + backoffPause(node.random, resendBackoff, maxResendBackoff, inFlight.failures);
    if (response.outcome == AppendOutcome::Unknown) {
        ++inFlight.unansweredSends;
        countRetry(node, RetryReason::AppendAnswerLost);
        return;
    }
    countRetry(node, RetryReason::AppendFailed);
    // requeued only if every send got a response: one without a response has possibly been stored
    if (inFlight.unansweredSends == 0 && !inFlight.isStored) {
        node.appendIntervalStart = inFlight.resendAt;
        requeueBatch(node);
    }
}

/**
 * Returns the shortest time between two appends of this daemon. With this interval, all live daemons together stay
 * within the append budget.
 */
Milliseconds appendInterval(const Node &node, const TickTime &time)
{
    std::int64_t live = 0;
    node.tables.daemons.forEach([&](DaemonRef it) { live += isLiveDaemon(node, it, time) ? 1 : 0; });
    return oneSecond * std::max<std::int64_t>(live, 1) / static_cast<std::int64_t>(node.settings.appendBudget);
}

/** Returns the queued proposals: joins first, then in the order in which they were made. */
std::vector<ProposalRef> queuedProposals(const Node &node)
{
    std::vector<ProposalRef> queued;
    node.proposals.forEach([&](ProposalRef it) {
        if (node.proposals.get<Proposal>(it).phase == ProposalPhase::Queued) {
            queued.push_back(it);
        }
    });
    const auto rank = [&](ProposalRef it) {
        const auto &row = node.proposals.get<Proposal>(it);
        return std::pair(!std::holds_alternative<JoinDaemon>(row.command), row.order);
    };
    std::ranges::sort(queued, {}, rank);
    return queued;
}

/** Returns true if the log accepts a batch of this daemon: it has joined, or the batch begins with its join. */
bool mayAppend(const Node &node, const std::vector<ProposalRef> &queued)
{
    const auto &first = node.proposals.get<Proposal>(queued.front());
    return selfRef(node).isSet() || std::holds_alternative<JoinDaemon>(first.command);
}

/**
 * Returns the time at which a batch of the queued proposals is due: MonotonicTime::min() if they fill a batch, else the
 * earliest end of a linger time among them.
 */
MonotonicTime batchDueTime(const Node &node, const std::vector<ProposalRef> &queued)
{
    std::size_t bytes = 0;
    auto dueAt = MonotonicTime::max();
    for (const auto it : queued) {
        const auto &row = node.proposals.get<Proposal>(it);
        const auto linger = row.urgent ? node.settings.urgentLinger : node.settings.lazyLinger;
        bytes += row.bytes;
        dueAt = std::min(dueAt, row.queuedAt + linger);
    }
    return bytes >= node.settings.batchBytes ? MonotonicTime::min() : dueAt;
}

/** Closes a batch of the first queued proposals, as many as fit but at least one, and sends the batch. */
void closeBatch(Node &node, const std::vector<ProposalRef> &queued, const TickTime &time)
{
    BatchInFlight inFlight;
    inFlight.batch.recordVersion = node.tables.position.recordVersion;
    inFlight.batch.daemon = node.settings.name;
    inFlight.batch.incarnation = node.incarnation;
    inFlight.batch.sequence = node.nextSequence++;
    std::size_t bytes = 0;
    for (const auto it : queued) {
        auto &row = node.proposals.get<Proposal>(it);
        if (!inFlight.proposals.empty() && bytes + row.bytes > node.settings.batchBytes) {
            break;
        }
        bytes += row.bytes;
        row.phase = ProposalPhase::InFlight;
        inFlight.batch.commands.push_back(row.command);
        inFlight.proposals.push_back(it);
    }
    node.appendIntervalStart = time.now;
    node.counters.appendedBytes += bytes;
    node.inFlight = std::move(inFlight);
    sendBatch(node, time);
}

void closeBatchIfDue(Node &node, const TickTime &time)
{
    const auto queued = queuedProposals(node);
    if (queued.empty() || !mayAppend(node, queued)) {
        return;
    }
    const auto due = std::max(batchDueTime(node, queued), node.appendIntervalStart + appendInterval(node, time));
    if (time.now >= due) {
        closeBatch(node, queued, time);
    } else {
        wakeBy(node, due);
    }
}

} // namespace

void appendSystem(Node &node, const TickTime &time)
{
    for (const auto &it : node.inbox.appendResponses) {
        handleAppendResponse(node, it, time);
    }
    if (node.snapshot.phase != LoadPhase::None) {
        return;
    }
    if (!node.inFlight) {
        closeBatchIfDue(node, time);
        return;
    }
    if (node.inFlight->isStored) {
        return;
    }
    if (time.now >= node.inFlight->resendAt) {
        sendBatch(node, time);
    } else {
        wakeBy(node, node.inFlight->resendAt);
    }
}

} // namespace flamingotally
