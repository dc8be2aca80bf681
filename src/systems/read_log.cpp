#include "node_func.h"
#include "systems/snapshot_work.h"
#include "systems/systems.h"

#include "command_func.h"

namespace flamingotally
{

namespace
{

/** Counts why parts of an own command were rejected at apply. */
void countRejections(Node &node, const CommandResult &result)
{
    if (result.reason != Reason::None) {
        ++node.counters.rejections[static_cast<std::size_t>(result.reason)];
    }
    if (result.partReason == Reason::None) {
        return;
    }
    node.counters.rejections[static_cast<std::size_t>(result.partReason)] += result.rejected;
    if (result.partReason == Reason::WorkerFull || result.partReason == Reason::TaskNotWaiting) {
        countRetry(node, RetryReason::CapacityConflict);
    }
    if (result.partReason == Reason::TeamLimit) {
        countRetry(node, RetryReason::LimitConflict);
    }
}

/** Hands a result to the caller who waits for it, if any still does. */
void resolveWaiter(Node &node, RequestHandle handle, const CommandResult &result)
{
    if (const auto waiter = findRef(node.waiterByHandle, handle); waiter.isSet()) {
        auto &row = node.waiters.get<Waiter>(waiter);
        row.accepted = true;
        row.proposal = {};
        row.result = result;
    }
}

/** Hands the results of the own batch to its proposals and drops them. */
void resolveBatch(Node &node, const BatchResult &batch)
{
    const auto &proposals = node.inFlight->proposals;
    for (std::size_t n = 0; n < proposals.size(); ++n) {
        CommandResult result;
        if (n < batch.commands.size()) {
            result = batch.commands[n];
        } else {
            result.reason = batch.reason;
        }
        countRejections(node, result);
        if (node.proposals.contains(proposals[n])) {
            resolveWaiter(node, node.proposals.get<Proposal>(proposals[n]).handle, result);
            node.proposals.erase(proposals[n]);
        }
    }
    node.inFlight.reset();
}

/** Tells whether a record is the batch that this process has in flight. */
bool isOwnBatch(const Node &node, const LogEntry &entry)
{
    return node.inFlight && entry.state == EntryState::Readable && entry.batch.daemon == node.settings.name
        && entry.batch.incarnation == node.inFlight->batch.incarnation
        && entry.batch.sequence == node.inFlight->batch.sequence;
}

/** Applies one record. */
void applyOne(Node &node, const LogEntry &entry, const TickTime &time)
{
    const auto before = node.tables.position.time;
    const auto result = applyEntry(node.tables, entry);
    node.view.entryReceivedAt = time.now;
    ++node.counters.recordsApplied;
    noteApplied(node, entry, before, time);
    if (isOwnBatch(node, entry) && result.reason != Reason::BatchRepeated) {
        resolveBatch(node, result);
    }
}

/** Applies the records that continue what has been applied. Stops at a gap or at what this build cannot apply. */
void applyRead(Node &node, const LogRead &read, const TickTime &time)
{
    for (const auto &it : read.entries) {
        if (it.offset < node.tables.position.nextOffset) {
            continue;
        }
        if (it.offset > node.tables.position.nextOffset) {
            return;
        }
        if (it.state == EntryState::NewerVersion) {
            node.view.blocked = true;
            return;
        }
        applyOne(node, it, time);
    }
}

} // namespace

void readLogSystem(Node &node, const TickTime &time)
{
    if (node.snapshot.phase != LoadPhase::None || node.view.blocked) {
        return;
    }
    for (const auto &it : node.inbox.logReads) {
        applyRead(node, it, time);
    }
    for (const auto &it : node.inbox.peerReads) {
        applyRead(node, it, time);
    }
}

} // namespace flamingotally
