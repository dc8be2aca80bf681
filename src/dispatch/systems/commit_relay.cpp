#include "dispatch/systems/commit_relay.h"

#include "dispatch/entry_func.h"
#include "dispatch/policy/commit_route.h"
#include "dispatch/record_size.h"
#include "dispatch/systems/apply_record.h"
#include "dispatch/systems/systems.h"

#include <algorithm>
#include <utility>

namespace flamingotally::dispatch
{

namespace
{

/** How long batches go through the owner after the store has refused one, before it is tried again. */
constexpr Milliseconds refusalPeriod{3'000};
/**
 * Time for the owner to store a batch of another daemon. The owner's own append is stored within 2 s once the store has
 * taken it, and the batch may have to wait for one append before it. The callers' deadline is 3 s.
 */
constexpr Milliseconds relayTimeout{3'000};
constexpr Milliseconds checkInterval{300}; ///< Between two calls that ask whether a silent owner waits for the store.
constexpr Milliseconds checkTimeout{250}; ///< Time-out of such a call; the owner answers it in its next tick.
/** How long an answer to such a call counts: until the next one should have arrived. */
constexpr Milliseconds waitingPeriod = checkInterval + 2 * checkTimeout;
constexpr int checksPerTimeout = 2; ///< The owner is asked after this fraction of the owner time-out.
/**
 * An owner whose view of the journal is older than this, beyond the wait of a read, does not claim to wait for the
 * store: it may be cut off from it, and must be replaced as soon as one that is gone.
 */
constexpr Milliseconds maxViewAge{200};
/** Size of the records of others that may wait for one batch: half of what the store takes in one call. */
constexpr std::size_t maxQueuedBytes = std::size_t{1024} * 1024;

/** Returns true if any daemon may write such a record, so that the owner stores it for another one. */
bool isOfAnyDaemon(const JournalRecord &record)
{
    return std::holds_alternative<AcceptedRecord>(record) || std::holds_alternative<CancelledRecord>(record)
        || std::holds_alternative<DaemonRecord>(record);
}

bool isOwnerReachable(const Entry &entry, const TickTime &time)
{
    const auto &commits = entry.commits;
    const bool isAvoided = commits.avoidedToken == entry.ownership.newest.token && time.now < commits.avoidUntil;
    return !isAvoided && findOwner(entry) != nullptr;
}

/** Returns how the owner answers a call; CommitOutcome::Stored stands for records that it takes. */
CommitOutcome judge(const Entry &entry, const CommitCall &call, const TickTime &time)
{
    const bool isMeant = entry.isOwner() && call.token == entry.ownership.token;
    if (!isMeant || !std::ranges::all_of(call.records, isOfAnyDaemon)) {
        return CommitOutcome::Refused;
    }
    if (call.records.empty()) {
        const bool readsStore =
            entry.journal.failures == 0 && time.now - entry.journal.asOf < maxViewAge + entry.settings.journalReadWait;
        return readsStore ? CommitOutcome::Waiting : CommitOutcome::Refused;
    }
    return CommitOutcome::Stored;
}

/** Queues the records of a call for the owner's next batch, unless too many wait already. */
bool takeRecords(Entry &entry, CommitCall &call)
{
    const auto batch = nextOwnerBatch(entry);
    PendingCommit commit{call.handle, batch, 0};
    for (const auto &it : call.records) {
        commit.bytes += estimatedBytes(it);
    }
    std::size_t queued = 0;
    for (const auto &it : entry.commits.pending) {
        queued += it.batch == batch ? it.bytes : 0;
    }
    // a batch of a daemon is smaller, so that it is taken once the records before it are stored
    if (queued + commit.bytes > maxQueuedBytes) {
        return false;
    }
    for (auto &it : call.records) {
        queueRecord(entry, JournalWriter::Owner, std::move(it));
    }
    entry.commits.pending.push_back(commit);
    return true;
}

void answer(Entry &entry, CallHandle handle, CommitOutcome outcome)
{
    const bool isStoreSlow = entry.writer(JournalWriter::Owner).isSlow;
    entry.outbox.commitAnswers.push_back({handle, outcome, isStoreSlow});
    ++entry.counters.commitAnswers[static_cast<std::size_t>(outcome)];
}

} // namespace

const KnownDaemon *findOwner(const Entry &entry)
{
    const auto &ownership = entry.ownership;
    const auto &newest = ownership.newest;
    const auto it = ownership.daemons.find(newest.owner);
    if (newest.owner.empty() || it == ownership.daemons.end()) {
        return nullptr;
    }
    const auto &daemon = it->second;
    const bool hasStopped =
        daemon.record.incarnation != newest.incarnation || daemon.record.resigned >= newest.token || !daemon.isAlive;
    const bool isFormerOwner = newest.owner == entry.settings.name && !entry.isOwner();
    return hasStopped || isFormerOwner ? nullptr : &daemon;
}

CommitRoute routeOfNextBatch(Entry &entry, const TickTime &time)
{
    auto &writer = entry.writer(JournalWriter::Entry);
    // the owner's own way through its other writer leads to the same store from the same host
    const bool wasRefused =
        !entry.isOwner() && writer.refusedAt != MonotonicTime{} && time.now - writer.refusedAt < refusalPeriod;
    const bool gotNoResponse = writer.route == CommitRoute::Store && writer.mayBeStored;
    const bool isSlow = time.now < entry.journal.slowUntil || gotNoResponse;
    const auto route = chooseRoute({isOwnerReachable(entry, time), isSlow, wasRefused, writer.isRelaying});
    if (route != writer.loggedRoute) {
        writer.loggedRoute = route;
        ++entry.counters.commitRouteChanges;
        logEvent(entry,
                 EventKind::CommitRouteChanged,
                 0,
                 "route={} owner={} token={} slow={} refused={}",
                 nameOf(commitRouteTable, route),
                 entry.ownership.newest.owner,
                 entry.ownership.newest.token,
                 isSlow,
                 wasRefused);
    }
    return route;
}

void sendThroughOwner(Entry &entry, const TickTime &time)
{
    auto &writer = entry.writer(JournalWriter::Entry);
    auto &commits = entry.commits;
    writer.route = CommitRoute::Owner;
    writer.isRelaying = true;
    writer.needsEpoch = true;
    writer.wasRefused = false;
    writer.inFlight = true;
    writer.sentAt = time.now;
    writer.sendAt = time.now + entry.settings.appendPause;
    commits.batchNumber = commits.nextNumber++;
    commits.batchToken = entry.ownership.newest.token;
    ++entry.counters.relayedBatches;
    entry.outbox.commits.push_back({commits.batchNumber,
                                    findOwner(entry)->record.peerAddress,
                                    commits.batchToken,
                                    writer.batch->records,
                                    relayTimeout});
}

void checkSilentOwner(Entry &entry, const TickTime &time)
{
    const auto *owner = findOwner(entry);
    const auto &view = entry.journal;
    if (!owner || entry.phase != EntryPhase::Serving || view.readingSince == MonotonicTime{}) {
        return;
    }
    auto &commits = entry.commits;
    const auto lastActivityAt = std::max(entry.ownership.ownerWroteAt, view.readingSince);
    const auto dueAt =
        std::max(lastActivityAt + entry.settings.ownerTimeout / checksPerTimeout, commits.checkedAt + checkInterval);
    entry.wakeBy(dueAt);
    if (time.now < dueAt) {
        return;
    }
    if (commits.waitingToken != entry.ownership.newest.token) {
        commits.waitingToken = entry.ownership.newest.token;
        commits.waitingAt = {};
    }
    commits.checkedAt = time.now;
    commits.checkNumber = commits.nextNumber++;
    entry.outbox.commits.push_back(
        {commits.checkNumber, owner->record.peerAddress, entry.ownership.newest.token, {}, checkTimeout});
}

bool isOwnerWaiting(const Entry &entry, const TickTime &time)
{
    const auto &commits = entry.commits;
    return commits.waitingAt != MonotonicTime{} && commits.waitingToken == entry.ownership.newest.token
        && time.now - commits.waitingAt < waitingPeriod;
}

std::size_t rowsOf(const JournalRecord &record)
{
    constexpr std::size_t rowsOfAJob = 2; // acceptance and cancellation, besides the progress of each occurrence
    const auto *removed = std::get_if<RemovedRecord>(&record);
    return removed ? (removed->keepsJob ? 0 : rowsOfAJob) + removed->occurrences : 1;
}

void applyStoredCommits(Entry &entry, const JournalBatch &batch, std::uint64_t offset, const TickTime &time)
{
    for (const auto &it : batch.records) {
        // what was read back already may have been replaced since
        if (isOfAnyDaemon(it) && offset >= entry.journal.nextOffset) {
            applyStoredRecord(entry, it, offset, time);
        }
        offset += rowsOf(it);
    }
}

void answerStoredCommits(Entry &entry)
{
    const auto stored = entry.writer(JournalWriter::Owner).batchesStored;
    std::erase_if(entry.commits.pending, [&](const PendingCommit &it) {
        const bool isStored = it.batch <= stored;
        if (isStored) {
            answer(entry, it.handle, CommitOutcome::Stored);
        }
        return isStored;
    });
}

void dropCommits(Entry &entry)
{
    const auto made = entry.writer(JournalWriter::Owner).batchesMade;
    for (const auto &it : std::exchange(entry.commits.pending, {})) {
        answer(entry, it.handle, it.batch > made ? CommitOutcome::Refused : CommitOutcome::Unknown);
    }
}

void commitSystem(Entry &entry, const TickTime &time)
{
    for (auto &it : entry.inbox.commitCalls) {
        const auto outcome = judge(entry, it, time);
        if (outcome != CommitOutcome::Stored) {
            answer(entry, it.handle, outcome);
        } else if (!takeRecords(entry, it)) {
            answer(entry, it.handle, CommitOutcome::Busy);
        }
    }
    auto &commits = entry.commits;
    for (const auto &it : entry.inbox.commitResponses) {
        if (it.number == commits.checkNumber) {
            const bool isWaiting = it.outcome == CommitOutcome::Waiting;
            commits.waitingAt = isWaiting ? time.now : MonotonicTime{};
        }
    }
}

} // namespace flamingotally::dispatch
