#include "dispatch/entry_func.h"
#include "dispatch/systems/systems.h"
#include "dispatch/work_func.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

constexpr std::size_t recordsPerBatch = 500;
constexpr Milliseconds refusedPause{120};
constexpr Milliseconds slowAnswer{150};
constexpr Milliseconds slowMemory{3'000};
constexpr Milliseconds claimBackoff{400}; ///< For the newer claim to be read.
constexpr Milliseconds shortestTimeout{450};
constexpr Milliseconds longestTimeout{3'000};
constexpr std::int64_t timeoutFactor = 5; ///< Of the smoothed latency.

/** Answers the caller whose record was stored. */
void accept(Entry &entry, CallHandle handle, const TickTime &time)
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
        entry.outbox.answers.push_back(
            {handle, call.call.verb, CallResult::Done, call.job, JobPhase::Queued, 0, Milliseconds{0}, ""});
        entry.calls.erase(ref);
    });
}

/** Answers the callers of a batch that was stored. */
void tellCallers(Entry &entry, const Writer &writer, const TickTime &time)
{
    for (const auto handle : writer.handles) {
        if (handle != 0) {
            accept(entry, handle, time);
        }
    }
}

void finishBatch(Entry &entry, Writer &writer, JournalWriter which, const TickTime &time)
{
    const auto taken = time.now - writer.sentAt;
    writer.latency = (writer.latency * 3 + taken) / 4;
    entry.counters.observe(LatencyKind::Append, taken);
    if (taken > slowAnswer) {
        entry.journal.slowUntil = time.now + slowMemory;
    }
    ++writer.stored;
    ++writer.sequence;
    writer.batch.reset();
    writer.mayBeStored = false;
    if (which == JournalWriter::Owner) {
        entry.ownership.contactAt = std::max(entry.ownership.contactAt, writer.sentAt);
    }
    tellCallers(entry, writer, time);
    writer.handles.clear();
}

/** Sends a batch anew after its sequence was refused. Records of an entry's writer may be stored twice. */
void beginEpoch(Writer &writer, const TickTime &time)
{
    ++writer.epoch;
    writer.sequence = 1;
    writer.batch->token = writer.epoch;
    writer.batch->sequence = writer.sequence;
    writer.sendAt = time.now + refusedPause;
}

void takeAnswer(Entry &entry, const AppendResponse &answer, const TickTime &time)
{
    auto &writer = entry.writer(answer.writer);
    if (!writer.inFlight || !writer.batch || writer.batch->sequence != answer.sequence) {
        return;
    }
    writer.inFlight = false;
    writer.wasRefused = answer.outcome == JournalOutcome::Refused;
    switch (answer.outcome) {
    case JournalOutcome::Stored: {
        finishBatch(entry, writer, answer.writer, time);
        const bool isReleased = answer.writer == JournalWriter::Owner && entry.ownership.phase == OwnerPhase::Releasing
            && writer.queue.empty();
        if (isReleased) {
            resign(entry, "given up");
        }
        break;
    }
    case JournalOutcome::Refused:
        writer.sendAt = time.now + refusedPause;
        break;
    case JournalOutcome::Fenced:
        if (answer.writer == JournalWriter::Owner) {
            resign(entry, "the journal has a newer owner");
            entry.ownership.backoffUntil = time.now + claimBackoff;
        } else {
            beginEpoch(writer, time);
        }
        break;
    default:
        writer.mayBeStored = true;
        writer.latency = std::min<Milliseconds>(writer.latency * 2, longestTimeout / timeoutFactor);
        break;
    }
}

/** Queues the progress of all occurrences that have changed. */
void queueProgress(Entry &entry)
{
    auto &work = entry.work;
    for (const auto occurrence : std::exchange(work.dirty, {})) {
        if (!work.occurrences.contains(occurrence)) {
            continue;
        }
        auto &state = work.occurrences.get<OccurrenceWork>(occurrence);
        state.dirty = false;
        write(entry, JournalWriter::Owner, progressOf(entry, occurrence));
        if (state.closed && state.live == 0) {
            eraseOccurrence(entry, occurrence);
        }
    }
}

void makeBatch(Writer &writer, JournalWriter which)
{
    const auto n = std::min(which == JournalWriter::Owner ? writer.queue.size() : recordsPerBatch, writer.queue.size());
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
    ++writer.batches;
}

void sendBatch(Entry &entry, Writer &writer, const TickTime &time)
{
    writer.inFlight = true;
    writer.sentAt = time.now;
    writer.sendAt = time.now + entry.settings.appendGather;
    writer.batch->timeout = std::clamp<Milliseconds>(writer.latency * timeoutFactor, shortestTimeout, longestTimeout);
    ++entry.counters.batches;
    entry.outbox.batches.push_back(*writer.batch);
}

} // namespace

void writtenSystem(Entry &entry, const TickTime &time)
{
    for (const auto &it : entry.inbox.appendResponses) {
        takeAnswer(entry, it, time);
    }
}

void writeJournalSystem(Entry &entry, const TickTime &time)
{
    for (std::size_t n = 0; n < entry.writers.size(); ++n) {
        const auto which = static_cast<JournalWriter>(n);
        auto &writer = entry.writers[n];
        if (writer.inFlight) {
            continue;
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
            }
            makeBatch(writer, which);
            writer.madeAt = time.now;
        }
        sendBatch(entry, writer, time);
    }
}

} // namespace flamingotally::dispatch
