#include "node_func.h"
#include "systems/snapshot_work.h"
#include "systems/systems.h"

#include "command_func.h"

namespace flamingotally
{

namespace
{

/** Counts the reasons why a command of this daemon, or a part of such a command, was rejected when it was applied. */
void countRejections(Node &node, const CommandResult &result)
{
    if (result.reason != Reason::None) {
        ++node.counters.rejections[static_cast<std::size_t>(result.reason)];
    }
    if (result.lastPartReason == Reason::None) {
        return;
    }
    node.counters.rejections[static_cast<std::size_t>(result.lastPartReason)] += result.rejected;
    if (result.lastPartReason == Reason::WorkerFull || result.lastPartReason == Reason::TaskNotWaiting) {
        countRetry(node, RetryReason::CapacityConflict);
    }
    if (result.lastPartReason == Reason::TeamLimit) {
        countRetry(node, RetryReason::LimitConflict);
    }
}

/** Passes a result to the caller's waiter if the caller still waits. */
void resolveWaiter(Node &node, RequestHandle handle, const CommandResult &result)
{
    if (const auto waiter = findRef(node.waiterByHandle, handle); waiter.isSet()) {
        auto &row = node.waiters.get<Waiter>(waiter);
        row.accepted = true;
        row.proposal = {};
        row.result = result;
    }
}

/** Passes the results of this daemon's batch to the callers of its proposals, and drops the proposals. */
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

/** Returns true if a record is the batch that this process has in flight. */
bool isOwnBatch(const Node &node, const LogEntry &entry)
{
    return node.inFlight && entry.state == EntryState::Readable && entry.batch.daemon == node.settings.name
        && entry.batch.incarnation == node.inFlight->batch.incarnation
        && entry.batch.sequence == node.inFlight->batch.sequence;
}

/** Applies one record, and resolves the batch in flight if the record is that batch. */
void applyOne(Node &node, const LogEntry &entry, const TickTime &time)
{
    const auto before = node.tables.position.time;
    const auto result = applyEntry(node.tables, entry);
    node.view.entryReceivedAt = time.now;
    ++node.counters.recordsApplied;
    onRecordApplied(node, entry, before, time);
    if (isOwnBatch(node, entry) && result.reason != Reason::BatchRepeated) {
        resolveBatch(node, result);
    }
}

/**
 * Applies the records that follow the last applied one. Stops at a gap, and at a record of a version that this build
 * cannot apply.
 */
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
