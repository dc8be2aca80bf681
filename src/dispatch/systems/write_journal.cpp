#include "dispatch/compaction_func.h"
#include "dispatch/entry_func.h"
#include "dispatch/opening_func.h"
#include "dispatch/record_size.h"
#include "dispatch/systems/append_response.h"
#include "dispatch/systems/commit_relay.h"
#include "dispatch/systems/systems.h"
#include "dispatch/team_use_func.h"
#include "dispatch/work_func.h"
#include "dispatch/work_step.h"

#include <algorithm>
#include <utility>

namespace flamingotally::dispatch
{

namespace
{

/** Maximum number of records in a batch of the entry writer; batches of the owner's writer have no maximum. */
constexpr std::size_t maxRecordsPerBatch = 500;
/** Size of a batch of the entry writer. The store refuses calls over 2 MB, and an owner adds the batches of others. */
constexpr std::size_t maxBytesPerBatch = std::size_t{768} * 1024;
constexpr Milliseconds shortestTimeout{450}; ///< Minimum time-out of an append.
constexpr Milliseconds longestTimeout{3'000}; ///< Maximum time-out of an append.
/** Time-out of an append as a multiple of the writer's estimate of the append latency. */
constexpr std::int64_t timeoutFactor = 5;
/** The store refuses appends when 2 s of them wait, so the answer to one that takes longer was lost. */
constexpr Milliseconds longestQueue{2'500};

/** Queues a progress record of each dirty occurrence, and removes an occurrence that is closed and has no live runs. */
void queueProgress(Entry &entry)
{
    auto &work = entry.work;
    for (const auto occurrence : std::exchange(work.dirty, {})) {
        if (!work.occurrences.contains(occurrence)) {
            continue;
        }
        auto &state = work.occurrences.get<OccurrenceWork>(occurrence);
        state.dirty = false;
        state.deferred = false;
        queueRecord(entry, JournalWriter::Owner, progressOf(entry, occurrence));
        if (state.closed && state.liveRuns == 0) {
            const auto job = work.occurrences.get<OccurrenceIdentity>(occurrence).job;
            eraseOccurrence(entry, occurrence);
            noteFinishedJob(entry, job);
        }
    }
}

/**
 * Marks deferred progress dirty when it is due. Run ends that wait for it are stored in the batch that is made next.
 */
void writeDeferred(Entry &entry, const TickTime &time)
{
    auto &work = entry.work;
    if (work.deferred.empty()) {
        return;
    }
    if (time.now < work.deferredUntil) {
        entry.wakeBy(work.deferredUntil);
        return;
    }
    markDeferredDirty(work);
    entry.workers.table.forEach([&](WorkerRef worker) {
        for (auto &it : entry.workers.table.get<WorkerLink>(worker).pendingEnds) {
            it.batch = it.batch == 0 ? nextOwnerBatch(entry) : it.batch;
        }
    });
}

/**
 * Returns true if the answer to the append in flight was probably lost: the store did not answer reads meanwhile, and
 * has now answered one that was sent a while after the append. While it has answered all reads, the append may still
 * wait in the store's queue. To send the append again is harmless, as the store knows its sequence number.
 */
bool isAnswerLost(const Entry &entry, const Writer &writer, const TickTime &time)
{
    constexpr Milliseconds shortestWait{500};
    constexpr Milliseconds readMargin{200}; // between the sends of the append and of the read
    constexpr int latencyFactor = 3;
    const auto wait = std::max<Milliseconds>(shortestWait, writer.latency * latencyFactor);
    const auto elapsed = time.now - writer.sentAt;
    const bool wasStoreAway = entry.journal.readingSince > writer.sentAt || elapsed > longestQueue;
    return writer.route == CommitRoute::Store && elapsed > wait && wasStoreAway
        && entry.journal.asOf > writer.sentAt + readMargin;
}

/** Queues the newest estimate of the load of the pools, which is only written together with other records. */
void queuePoolLoad(Entry &entry)
{
    auto &loads = entry.work.poolLoads;
    if (entry.isOwner() && loads.unpublished) {
        loads.hasPublishedLoad = !loads.unpublished->pools.empty();
        queueRecord(entry, JournalWriter::Owner, *std::exchange(loads.unpublished, std::nullopt));
    }
}

/** Returns how many of the queued records go into the next batch of a writer; at least one if there are any. */
std::size_t recordsOfNextBatch(const Writer &writer, JournalWriter which)
{
    if (which == JournalWriter::Owner) {
        return writer.queue.size();
    }
    const auto limit = std::min(maxRecordsPerBatch, writer.queue.size());
    std::size_t n = 0;
    for (std::size_t bytes = 0; n < limit; ++n) {
        bytes += estimatedBytes(writer.queue[n].record);
        if (n > 0 && bytes > maxBytesPerBatch) {
            break;
        }
    }
    return n;
}

/** Moves queued records into a new batch of the writer. */
void makeBatch(Writer &writer, JournalWriter which)
{
    const auto n = recordsOfNextBatch(writer, which);
    JournalBatch batch;
    batch.writer = which;
    batch.token = writer.epoch;
    batch.sequence = writer.sequence;
    writer.handles.clear();
    for (std::size_t i = 0; i < n; ++i) {
        batch.records.push_back(std::move(writer.queue[i].record));
        writer.handles.push_back(writer.queue[i].handle);
    }
    writer.queue.erase(writer.queue.begin(), writer.queue.begin() + static_cast<std::ptrdiff_t>(n));
    writer.batch = std::move(batch);
    ++writer.batchesMade;
}

/**
 * Returns true if an append will probably wait in the store's queue: the store is slow, or the append got no answer in
 * time though reads are answered. If it was given up early, more copies of it would wait there.
 */
bool isQueuedAtStore(const Entry &entry, const Writer &writer, const TickTime &time)
{
    const auto &view = entry.journal;
    const bool gotNoAnswer = writer.mayBeStored && view.asOf > writer.sentAt;
    return view.failures == 0 && (time.now < view.slowUntil || gotNoAnswer);
}

/** Adds the writer's batch to the outbox, for the store. */
void sendBatch(Entry &entry, Writer &writer, const TickTime &time)
{
    if (writer.needsEpoch) {
        beginEpoch(writer);
    }
    const bool isQueued = isQueuedAtStore(entry, writer, time);
    writer.route = CommitRoute::Store;
    writer.inFlight = true;
    writer.sentAt = time.now;
    writer.sendAt = time.now + entry.settings.appendPause;
    // no answer to the last append can mean that its time-out was too short
    const auto timeout = std::max<Milliseconds>(writer.latency * timeoutFactor, writer.timeout * 2);
    writer.timeout = isQueued ? longestTimeout : std::clamp(timeout, shortestTimeout, longestTimeout);
    writer.batch->timeout = writer.timeout;
    ++entry.counters.batches;
    entry.outbox.batches.push_back(*writer.batch);
}

} // namespace

void writeJournalSystem(Entry &entry, const TickTime &time)
{
    for (std::size_t n = 0; n < entry.writers.size(); ++n) {
        const auto which = static_cast<JournalWriter>(n);
        auto &writer = entry.writers[n];
        if (writer.inFlight && isAnswerLost(entry, writer, time)) {
            writer.inFlight = false;
            writer.mayBeStored = true;
            writer.timeout = Milliseconds{0};
        }
        if (writer.inFlight) {
            continue;
        }
        if (which == JournalWriter::Owner && !writer.batch) {
            writeDeferred(entry, time);
        }
        const bool hasWork =
            writer.batch || !writer.queue.empty() || (which == JournalWriter::Owner && !entry.work.dirty.empty());
        if (!hasWork) {
            continue;
        }
        if (time.now < writer.sendAt) {
            entry.wakeBy(writer.sendAt);
            continue;
        }
        if (!writer.batch) {
            if (which == JournalWriter::Owner) {
                queueProgress(entry);
                queueCompactRecords(entry, time); // behind the progress of the jobs
                queuePoolLoad(entry);
                queueTeamUse(entry, time);
            }
            makeBatch(writer, which);
            writer.madeAt = time.now;
        }
        if (which == JournalWriter::Entry && routeOfNextBatch(entry, time) == CommitRoute::Owner) {
            sendThroughOwner(entry, time);
        } else {
            sendBatch(entry, writer, time);
        }
    }
}

} // namespace flamingotally::dispatch
