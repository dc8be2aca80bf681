#include "dispatch/entry_func.h"

#include "dispatch/systems/commit_relay.h"

#include <charconv>
#include <utility>

namespace flamingotally::dispatch
{

namespace
{

/** Maximum ages of an owner's views. Older ones may lack the newest changes of the kind that is named. */
struct ViewAgeLimits {
    Milliseconds journal; ///< Cancellations.
    Milliseconds workers; ///< Workers that drain, have left or have shrunk.
    Milliseconds config; ///< Domains that are out of service.
};

constexpr ViewAgeLimits startLimits{Milliseconds{2'000}, Milliseconds{1'800}, Milliseconds{4'000}};
/** An owner with older views releases the cell. Longer, so that one lost read of a slow store is no reason. */
constexpr ViewAgeLimits ownerLimits{Milliseconds{2'400}, Milliseconds{3'000}, Milliseconds{4'000}};
/** Added to the leases of previous owners, for slow clocks of workers and late ticks. */
constexpr Milliseconds leaseMargin{400};

bool areViewsWithin(const ViewAgeLimits &limits, const Entry &entry, const TickTime &time)
{
    return time.now - entry.journal.asOf < limits.journal && time.now - entry.workers.asOf < limits.workers
        && time.now - entry.config.asOf < limits.config;
}

/**
 * Answers the calls of callers and peers that only the messages of a failed tick knew. They would stay open, and what
 * their requests hold would never be released. Calls that are in the tables are answered as usual.
 */
void answerLostCalls(Entry &entry, const Inbox &inbox, const Outbox &outbox)
{
    const auto answerUndecided = [&entry](CallHandle handle, CallVerb verb) {
        entry.outbox.responses.push_back(
            {handle, verb, CallResult::Undecided, 0, JobPhase::Queued, 0, Milliseconds{0}, "unexpected error"});
    };
    for (const auto &it : inbox.calls) {
        answerUndecided(it.handle, it.verb);
    }
    for (const auto &it : outbox.responses) {
        answerUndecided(it.handle, it.verb);
    }
    const auto answerNotLoaded = [&entry](std::uint64_t handle) {
        PeerReadResponse response;
        response.handle = handle;
        response.result = ShareResult::NotLoaded;
        entry.outbox.peerReadResponses.push_back(std::move(response));
    };
    for (const auto &it : inbox.peerReads) {
        answerNotLoaded(it.handle);
    }
    for (const auto &it : outbox.peerReadResponses) {
        answerNotLoaded(it.handle);
    }
}

} // namespace

std::uint32_t processorMilli(const EntrySettings &settings)
{
    constexpr double milli = 1'000;
    double share = 0;
    const auto &text = settings.processorShare;
    std::from_chars(text.data(), text.data() + text.size(), share);
    return share > 0 ? static_cast<std::uint32_t>(share * milli) : 0;
}

void queueRecord(Entry &entry, JournalWriter which, JournalRecord record, CallHandle handle)
{
    entry.writer(which).queue.push_back({std::move(record), handle});
}

std::uint64_t nextOwnerBatch(const Entry &entry)
{
    return entry.writers[static_cast<std::size_t>(JournalWriter::Owner)].batchesMade + 1;
}

bool isCertainOwner(const Entry &entry, const TickTime &time)
{
    return entry.isOwner() && time.now - entry.ownership.storedBatchSentAt < entry.settings.isolationLimit;
}

bool hasFreshConfig(const Entry &entry, const TickTime &time)
{
    return time.now - entry.config.asOf < ownerLimits.config;
}

bool hasFreshViews(const Entry &entry, const TickTime &time)
{
    return areViewsWithin(ownerLimits, entry, time);
}

bool mayStart(const Entry &entry, const TickTime &time)
{
    return isCertainOwner(entry, time) && areViewsWithin(startLimits, entry, time);
}

void resign(Entry &entry, std::string_view cause)
{
    auto &ownership = entry.ownership;
    if (ownership.phase == OwnerPhase::Owner) {
        ++entry.counters.resignations;
        logEvent(entry, EventKind::OwnershipLost, 0, "token={} cause=\"{}\"", ownership.token, cause);
        ownership.resigned = ownership.token;
        queueRecord(entry, JournalWriter::Entry, ownRecord(entry));
    }
    ownership.phase = OwnerPhase::Follower;
    ownership.ownerWroteAt = entry.tickedAt;
    entry.work = {};
    entry.workers = {};
    const auto nextNumber = entry.advice.nextNumber;
    entry.advice = {};
    entry.advice.nextNumber = nextNumber;
    dropCommits(entry);
    auto &writer = entry.writer(JournalWriter::Owner);
    const auto latency = writer.latency;
    writer = {};
    writer.latency = latency;
}

void recoverFromError(Entry &entry, std::string_view what, MonotonicTime now)
{
    constexpr Milliseconds pause{100};
    const auto inbox = std::exchange(entry.inbox, Inbox{});
    const auto outbox = std::exchange(entry.outbox, Outbox{});
    answerLostCalls(entry, inbox, outbox);
    logEvent(entry, EventKind::UnexpectedError, 0, "what=\"{}\" owner={}", what, entry.isOwner());
    if (entry.ownership.phase != OwnerPhase::Follower) {
        resign(entry, "unexpected error");
    }
    const auto readNumber = entry.journal.readNumber;
    entry.journal = {};
    entry.journal.readNumber =
        readNumber + 1; // no response to a read in flight counts any more, nor the rest of a load
    entry.share.ring.stop();
    for (auto &writer : entry.writers) {
        writer.mayBeStored = writer.mayBeStored || writer.inFlight;
        writer.inFlight = false;
    }
    entry.nextWake = now + pause;
}

Milliseconds wallAt(const Entry &entry, MonotonicTime at)
{
    return at.time_since_epoch() + entry.wall.offset;
}

MonotonicTime monotonicAt(const Entry &entry, Milliseconds wall)
{
    return MonotonicTime{wall - entry.wall.offset};
}

MonotonicTime previousLeasesExpireAt(const Entry &entry)
{
    const auto &ownership = entry.ownership;
    const auto tail = entry.settings.lease + leaseMargin;
    if (ownership.earlierOwnersExpired && ownership.previousOwnerStoppedAt != MonotonicTime{}) {
        return ownership.previousOwnerStoppedAt + tail;
    }
    return ownership.claimedAt + entry.settings.isolationLimit + tail;
}

DaemonRecord ownRecord(const Entry &entry)
{
    const auto &settings = entry.settings;
    return {settings.name,
            entry.incarnation,
            settings.domain,
            settings.peerAddress,
            processorMilli(settings),
            entry.ownership.resigned};
}

} // namespace flamingotally::dispatch
