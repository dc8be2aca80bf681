#include "dispatch/systems/append_response.h"

#include "dispatch/entry_func.h"
#include "dispatch/policy/owner_silence.h"
#include "dispatch/systems/commit_relay.h"
#include "dispatch/systems/systems.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/** Pause before a refused batch of either writer, or a fenced batch of the entry writer, is sent again. */
constexpr Milliseconds refusedPause{120};
/** The same for an entry writer while the store is slow and the owner silent, so that the next claim finds room there.
 */
constexpr Milliseconds crowdedPause{1'000};
constexpr Milliseconds slowAppend{150}; ///< An append that takes longer makes the store count as slow.
/** A fenced owner claims again only after this time, in which it reads the newer claim. */
constexpr Milliseconds claimBackoff{400};
constexpr Milliseconds longestGap{1'000}; ///< After a longer time without a stored batch, the store was out of reach.
/** After a call to the owner has failed, this daemon sends its batches directly for so long. */
constexpr Milliseconds failedOwnerPeriod{3'000};
/** The same after the owner has refused, as it has probably lost the cell: until the next claim should be known. */
constexpr Milliseconds refusingOwnerPeriod{1'000};

/** Responds to the call with the given handle after the record of that call was stored, and logs the event. */
void respondToCaller(Entry &entry, CallHandle handle, const TickTime &time)
{
    entry.calls.forEach([&](CallRef ref) {
        const auto &call = entry.calls.get<Call>(ref);
        if (call.call.handle != handle) {
            return;
        }
        const bool isSubmission = call.call.verb == CallVerb::Submit;
        entry.counters.accepted += isSubmission ? 1 : 0;
        entry.counters.observe(LatencyKind::Accept, time.now - call.call.receivedAt);
        logEvent(entry,
                 isSubmission ? EventKind::JobAccepted : EventKind::JobCancelled,
                 call.job,
                 "queue={} config={} waited_ms={}",
                 call.queue,
                 entry.config.current.version,
                 (time.now - call.call.receivedAt).count());
        const bool isUnknown = call.call.verb == CallVerb::Cancel && !entry.jobs.byId.contains(call.job);
        const auto result = isUnknown ? CallResult::UnknownJob : CallResult::Done;
        entry.outbox.responses.push_back(
            {handle, call.call.verb, result, call.job, JobPhase::Queued, 0, Milliseconds{0}, ""});
        entry.calls.erase(ref);
    });
}

/** Responds to the calls whose records are in the batch that was just stored. */
void respondToCallers(Entry &entry, const Writer &writer, const TickTime &time)
{
    for (const auto handle : writer.handles) {
        if (handle != 0) {
            respondToCaller(entry, handle, time);
        }
    }
}

/** Completes the writer's batch after it was stored either way, and responds to the callers. */
void completeBatch(Entry &entry, Writer &writer, const TickTime &time)
{
    ++writer.batchesStored;
    writer.timeout = Milliseconds{0};
    writer.batch.reset();
    writer.mayBeStored = false;
    respondToCallers(entry, writer, time);
    writer.handles.clear();
}

/** Updates what is known of the store's speed by an append that was stored. */
void measureAppend(Entry &entry, Writer &writer, const TickTime &time)
{
    const auto elapsed = time.now - writer.sentAt;
    writer.latency = (writer.latency * 3 + elapsed) / 4;
    entry.counters.observe(LatencyKind::Append, elapsed);
    writer.isSlow = elapsed > slowAppend;
    writer.isRelaying = writer.isRelaying && writer.isSlow;
    if (writer.isSlow) {
        entry.journal.slowUntil = time.now + slowStorePeriod;
    }
}

/** Completes the writer's batch after the store has answered that it is stored, and updates the latency estimate. */
void finishBatch(Entry &entry, Writer &writer, JournalWriter which, const TickTime &time)
{
    // a late answer to an earlier direct send, while the batch is on its way through the owner, says nothing of latency
    if (writer.route == CommitRoute::Store) {
        measureAppend(entry, writer, time);
    }
    ++writer.sequence;
    if (which == JournalWriter::Owner) {
        auto &ownership = entry.ownership;
        if (writer.sentAt - ownership.storedBatchSentAt > longestGap) {
            ownership.storingSince = writer.sentAt;
        }
        ownership.storedBatchSentAt = std::max(ownership.storedBatchSentAt, writer.sentAt);
    }
    completeBatch(entry, writer, time);
    if (which == JournalWriter::Owner) {
        answerStoredCommits(entry);
    }
}

/**
 * Returns true if the store is slow and the owner silent. If all daemons sent their batches directly then, the next
 * claim would wait behind them.
 */
bool isClaimExpected(const Entry &entry, const TickTime &time)
{
    const auto &writer = entry.writers[static_cast<std::size_t>(JournalWriter::Entry)];
    const bool isSlow = time.now < entry.journal.slowUntil || writer.isRelaying;
    return isSlow && time.now - entry.ownership.ownerWroteAt > entry.settings.ownerTimeout / 2;
}

/** Returns true if a response of the store is one to the batch of the writer that waits for it. */
bool isAwaited(const Writer &writer, const AppendResponse &response)
{
    const bool isOfBatch = writer.inFlight && writer.batch && writer.batch->sequence == response.sequence
        && writer.batch->token == response.token;
    // the batch may have gone to the owner after an earlier send to the store, of which only success still counts
    return isOfBatch && (writer.route == CommitRoute::Store || response.outcome == JournalOutcome::Stored);
}

void handleAppendResponse(Entry &entry, const AppendResponse &response, const TickTime &time)
{
    auto &writer = entry.writer(response.writer);
    if (!isAwaited(writer, response)) {
        return;
    }
    writer.inFlight = false;
    writer.wasRefused = response.outcome == JournalOutcome::Refused;
    writer.isSlow = true; // unless the batch was stored in time
    switch (response.outcome) {
    case JournalOutcome::Stored: {
        if (response.writer == JournalWriter::Owner) {
            applyStoredCommits(entry, *writer.batch, response.offset, time);
        }
        finishBatch(entry, writer, response.writer, time);
        const bool isReleaseComplete = response.writer == JournalWriter::Owner
            && entry.ownership.phase == OwnerPhase::Releasing && writer.queue.empty();
        if (isReleaseComplete) {
            resign(entry, "released");
        }
        break;
    }
    case JournalOutcome::Refused:
        writer.refusedAt = time.now;
        if (response.writer == JournalWriter::Owner || routeOfNextBatch(entry, time) == CommitRoute::Store) {
            const bool leavesRoom = response.writer == JournalWriter::Entry && isClaimExpected(entry, time);
            writer.sendAt = time.now + (leavesRoom ? crowdedPause : refusedPause);
        }
        break;
    case JournalOutcome::Fenced:
        if (response.writer == JournalWriter::Owner) {
            resign(entry, "append fenced by a newer owner");
            entry.ownership.backoffUntil = time.now + claimBackoff;
        } else {
            beginEpoch(writer);
            writer.sendAt = time.now + refusedPause;
        }
        break;
    default:
        writer.mayBeStored = true;
        break;
    }
}

/** Makes the entry writer send its batches to the store for a while, instead of to the owner that did not take one. */
void avoidOwner(Entry &entry, Milliseconds period, const TickTime &time)
{
    auto &commits = entry.commits;
    if (isClaimExpected(entry, time)) {
        entry.writer(JournalWriter::Entry).sendAt = time.now + crowdedPause;
    }
    commits.avoidedToken = commits.batchToken;
    commits.avoidUntil = time.now + period;
}

/** Applies the owner's answer to the batch of the entry writer. */
void handleCommitResponse(Entry &entry, const CommitResponse &response, const TickTime &time)
{
    auto &writer = entry.writer(JournalWriter::Entry);
    const bool isThroughOwner = writer.inFlight && writer.batch && writer.route == CommitRoute::Owner;
    if (!isThroughOwner || response.number != entry.commits.batchNumber) {
        return;
    }
    writer.inFlight = false;
    switch (response.outcome) {
    case CommitOutcome::Stored:
        ++writer.sequence; // a late response to an earlier direct send is not taken for one to the next batch
        writer.isRelaying = response.isStoreSlow;
        if (response.isStoreSlow) {
            entry.journal.slowUntil = time.now + slowStorePeriod;
        }
        completeBatch(entry, writer, time);
        break;
    case CommitOutcome::Busy:
        writer.sendAt = time.now + refusedPause;
        break;
    case CommitOutcome::Refused:
        avoidOwner(entry, refusingOwnerPeriod, time);
        break;
    case CommitOutcome::NeverSent:
        avoidOwner(entry, failedOwnerPeriod, time);
        break;
    default:
        writer.mayBeStored = true;
        if (!isOwnerWaiting(entry, time)) {
            avoidOwner(entry, failedOwnerPeriod, time);
        }
        break;
    }
}

/** Gives up waiting for an owner that another one has replaced: what it has not stored yet is fenced. */
void leaveReplacedOwner(Entry &entry)
{
    auto &writer = entry.writer(JournalWriter::Entry);
    if (writer.inFlight && writer.route == CommitRoute::Owner
        && entry.commits.batchToken != entry.ownership.newest.token) {
        writer.inFlight = false;
        writer.mayBeStored = true; // the answer may have been lost or be under way
    }
}

} // namespace

void beginEpoch(Writer &writer)
{
    ++writer.epoch;
    writer.sequence = 1;
    writer.batch->token = writer.epoch;
    writer.batch->sequence = writer.sequence;
    writer.needsEpoch = false;
}

void appendResponseSystem(Entry &entry, const TickTime &time)
{
    for (const auto &it : entry.inbox.appendResponses) {
        handleAppendResponse(entry, it, time);
    }
    for (const auto &it : entry.inbox.commitResponses) {
        handleCommitResponse(entry, it, time);
    }
    leaveReplacedOwner(entry);
}

} // namespace flamingotally::dispatch
