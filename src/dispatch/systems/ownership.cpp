#include "dispatch/entry_func.h"
#include "dispatch/policy/journal_source.h"
#include "dispatch/policy/owner_silence.h"
#include "dispatch/systems/commit_relay.h"
#include "dispatch/systems/systems.h"

#include <absl/hash/hash.h>

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

/**
 * Factor of the stagger while the store responds slowly, as claims queue up at a slow store: a claim may take over 2 s
 * to be stored, and few others are to be queued behind it.
 */
constexpr int slowStoreStaggerFactor = 8;
/** Maximum age, beyond the wait of a read, of a view of the journal that shows whether the owner is active. */
constexpr Milliseconds maxReadAge{700};
/** A host with at least this many times the processor capacity should be the owner instead. */
constexpr std::uint32_t largerFactor = 2;
/** Added to the stagger of a daemon that has a much larger peer, so that the peer notices the missing owner first. */
constexpr Milliseconds smallHostStagger{300};
/** Added to the stagger of a daemon that could start nothing, as its view of the configuration is old. */
constexpr Milliseconds staleConfigStagger{600};
/** Minimum time from a claim until its owner yields, in which it can build its tables. */
constexpr Milliseconds yieldDelay{2'000};
/** The same for an owner that claimed after a release: better placed daemons did not claim then. */
constexpr Milliseconds yieldDelayAfterRelease{15'000};
/** An owner whose ticks are delayed by more than this on average is overloaded. */
constexpr Milliseconds overloadDelay{80};
/** An owner that has been overloaded for this long releases ownership. */
constexpr Milliseconds overloadPeriod{1'000};
constexpr Milliseconds overloadBackoff{10'000}; ///< Such an owner claims nothing for this long.
/** While the newest stored batch was sent more recently than this, the owner's appends get through. */
constexpr Milliseconds storedBatchAgeLimit{1'000};
/** After the store was out of reach, reads have this long to succeed before their failures count. */
constexpr Milliseconds readGraceTime{1'500};
/** Time for other daemons to read the release; this daemon claims nothing during it. */
constexpr Milliseconds yieldBackoff{1'500};
/** When nobody has claimed for this long after a release, daemons that leave the claim to others claim as well. */
constexpr Milliseconds unclaimedLimit{1'000};
/**
 * Number of possible first sequence numbers of an owner's writer. The first one is derived from a hash, so that the
 * claims of two daemons under the same token have different sequence numbers.
 */
constexpr std::uint64_t sequenceRange = 1'000'000'007;

/**
 * Returns the sort key of a daemon among those that may claim ownership after the claim with a token: larger hosts
 * first, then by a hash of name and token.
 */
std::pair<std::int64_t, std::uint64_t> claimKey(const DaemonRecord &daemon, Token token)
{
    std::uint64_t hash = 14'695'981'039'346'656'037ULL ^ token;
    for (const char c : daemon.name) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1'099'511'628'211ULL;
    }
    return {-static_cast<std::int64_t>(daemon.processorMilli), hash};
}

/** Returns how many daemons may claim earlier than this one after the claim with a token. */
std::size_t rankAfter(const Entry &entry, Token token)
{
    const auto own = claimKey(ownRecord(entry), token);
    std::size_t rank = 0;
    for (const auto &[name, it] : entry.ownership.daemons) {
        rank += it.isAlive && claimKey(it.record, token) < own ? 1 : 0;
    }
    return rank;
}

/** Returns true if another daemon's host is so much larger that it should be the owner instead of this one. */
bool hasMuchLargerPeer(const Entry &entry)
{
    const auto own = processorMilli(entry.settings);
    return own > 0 && std::ranges::any_of(entry.ownership.daemons, [own](const auto &it) {
               return it.second.isAlive && it.second.record.processorMilli >= largerFactor * own;
           });
}

/** Returns true if this daemon, which has lost or released ownership, still leaves the next claim to others. */
bool isBackingOff(Entry &entry, const TickTime &time)
{
    const auto &ownership = entry.ownership;
    if (time.now >= ownership.backoffUntil) {
        return false;
    }
    const auto unclaimedAt = ownership.ownerWroteAt + unclaimedLimit;
    if (hasOwnerStopped(entry) && time.now < unclaimedAt) {
        entry.wakeBy(unclaimedAt);
        return true;
    }
    return !hasOwnerStopped(entry);
}

/**
 * Returns true if the journal shows no owner and it is this daemon's turn to claim. Only a read of the store is
 * evidence of that, as a view from the region's reader may lack the newest records of the owner.
 */
bool isClaimDue(Entry &entry, const TickTime &time)
{
    const auto &ownership = entry.ownership;
    const auto &journal = entry.journal;
    if (entry.phase != EntryPhase::Serving || journal.readingSince == MonotonicTime{}
        || journal.region.applied != JournalSource::Store
        || time.now - journal.asOf > maxReadAge + entry.settings.journalReadWait || isBackingOff(entry, time)) {
        return false;
    }
    // what is known of the store ages while a batch waits for an owner that may be gone
    const bool isSlow = time.now < journal.slowUntil || entry.writer(JournalWriter::Entry).isRelaying;
    const auto stagger = entry.settings.claimStagger * (isSlow ? slowStoreStaggerFactor : 1)
            * static_cast<std::int64_t>(rankAfter(entry, ownership.newest.token))
        + (hasMuchLargerPeer(entry) ? smallHostStagger : Milliseconds::zero())
        + (hasFreshConfig(entry, time) ? Milliseconds::zero() : staleConfigStagger);
    const auto lastActivityAt = std::max(ownership.ownerWroteAt, journal.readingSince);
    const auto timeout = silenceLimit(entry.settings.ownerTimeout, isSlow, isOwnerWaiting(entry, time));
    const auto dueAt = lastActivityAt + stagger + (hasOwnerStopped(entry) ? Milliseconds{0} : timeout);
    entry.wakeBy(dueAt);
    return time.now >= dueAt && (hasOwnerStopped(entry) || journal.readAt >= lastActivityAt + timeout);
}

/** Queues a claim of ownership under the next token. */
void claim(Entry &entry, const TickTime &time)
{
    auto &ownership = entry.ownership;
    ownership.phase = OwnerPhase::Claiming;
    ownership.token = ownership.newest.token + 1;
    ++entry.counters.claims;
    auto &writer = entry.writer(JournalWriter::Owner);
    const auto latency = writer.latency;
    writer = {};
    writer.latency = latency;
    writer.epoch = ownership.token;
    writer.sequence = 1 + absl::HashOf(entry.settings.name, entry.incarnation) % sequenceRange;
    queueRecord(entry, JournalWriter::Owner, ClaimRecord{entry.settings.name, entry.incarnation, ownership.token});
    logEvent(entry,
             EventKind::OwnershipClaimed,
             0,
             "token={} former_owner={} silent_ms={}",
             ownership.token,
             ownership.newest.owner,
             (time.now - ownership.ownerWroteAt).count());
}

/**
 * Returns true if this owner has owned the cell for long enough to yield to a better placed daemon. An owner that
 * claimed after a release yields later, as the others could have claimed then and did not.
 */
bool mayYield(const Entry &entry, const TickTime &time)
{
    const auto &ownership = entry.ownership;
    const bool isAfterRelease = ownership.previous.owner.empty() && ownership.previous.token > 0;
    return time.now >= ownership.claimedAt + (isAfterRelease ? yieldDelayAfterRelease : yieldDelay);
}

/** Returns true if this owner should release ownership to a larger host, and then delays its own next claim. */
bool isYieldDue(Entry &entry, const TickTime &time)
{
    const bool isStoreHealthy = time.now >= entry.journal.slowUntil && entry.journal.failures == 0;
    if (!hasMuchLargerPeer(entry) || !isStoreHealthy || !mayYield(entry, time)) {
        return false;
    }
    entry.ownership.backoffUntil = time.now + yieldBackoff;
    return true;
}

/** Measures how late ticks run. A single long delay, as after a pause of the process, counts no more than others. */
void measureTickDelay(Entry &entry, const TickTime &time)
{
    constexpr Milliseconds longestCounted{300};
    constexpr int weight = 8; // of the earlier delays, to one of the new one
    auto &ownership = entry.ownership;
    const auto late = Milliseconds(time.now - entry.dueTickAt);
    const auto delay = std::clamp(late, Milliseconds{0}, longestCounted);
    ownership.tickDelay = (ownership.tickDelay * (weight - 1) + delay) / weight;
    if (ownership.tickDelay < overloadDelay) {
        ownership.overloadedSince = {};
    } else if (ownership.overloadedSince == MonotonicTime{}) {
        ownership.overloadedSince = time.now;
    }
}

/**
 * Returns true if this owner's host is too slow to keep up, so that another one should own the cell; this daemon then
 * claims nothing for a while.
 */
bool isOverloaded(Entry &entry, const TickTime &time)
{
    auto &ownership = entry.ownership;
    const auto since = std::max(ownership.overloadedSince, ownership.claimedAt);
    if (ownership.overloadedSince == MonotonicTime{} || time.now - since < overloadPeriod
        || ownership.daemonsAlive < 2) {
        return false;
    }
    logEvent(entry,
             EventKind::OwnerOverloaded,
             0,
             "tick_delay_ms={} overloaded_ms={}",
             ownership.tickDelay.count(),
             (time.now - ownership.overloadedSince).count());
    ownership.backoffUntil = time.now + overloadBackoff;
    return true;
}

/**
 * Returns true if an owner with old views may release ownership. One whose views were fresh for a while after its claim
 * has read well, so that what fails now need not fail for others; any other waits as for a larger host.
 */
bool mayReleaseStale(const Entry &entry, const TickTime &time)
{
    const auto &ownership = entry.ownership;
    return ownership.freshViewsAt >= ownership.claimedAt + yieldDelay || mayYield(entry, time);
}

/**
 * Returns true if this owner's appends are stored while its reads of the journal fail or are late; it then delays its
 * own next claim. It would keep alive runs of jobs that were cancelled meanwhile, so a daemon that reads should own the
 * cell.
 */
bool isStale(Entry &entry, const TickTime &time)
{
    auto &ownership = entry.ownership;
    const bool storesBatches = time.now - ownership.storedBatchSentAt < storedBatchAgeLimit
        && time.now - ownership.storingSince >= readGraceTime;
    if (hasFreshViews(entry, time)) {
        ownership.freshViewsAt = time.now;
        return false;
    }
    if (!storesBatches || ownership.daemonsAlive < 2 || !mayReleaseStale(entry, time)) {
        return false;
    }
    logEvent(entry,
             EventKind::OwnerStale,
             0,
             "journal_age_ms={} worker_list_age_ms={} config_age_ms={} stored_batch_age_ms={} read_failures={}",
             (time.now - entry.journal.asOf).count(),
             (time.now - entry.workers.asOf).count(),
             (time.now - entry.config.asOf).count(),
             (time.now - ownership.storedBatchSentAt).count(),
             entry.journal.failures);
    ownership.backoffUntil = time.now + yieldBackoff;
    return true;
}

/** Queues a heartbeat if the owner's writer has sent nothing for the heartbeat interval and has nothing to send. */
void writeHeartbeat(Entry &entry, const TickTime &time)
{
    auto &writer = entry.writer(JournalWriter::Owner);
    const auto dueAt = writer.sentAt + entry.settings.heartbeatInterval;
    entry.wakeBy(dueAt);
    if (time.now >= dueAt && writer.queue.empty() && !writer.batch && entry.work.dirty.empty()) {
        queueRecord(entry, JournalWriter::Owner, HeartbeatRecord{entry.ownership.token});
    }
}

} // namespace

void ownershipSystem(Entry &entry, const TickTime &time)
{
    const bool isReady = entry.journal.loaded && entry.config.loaded;
    if (entry.phase == EntryPhase::CatchingUp && isReady) {
        entry.phase = EntryPhase::Serving;
    }
    auto &ownership = entry.ownership;
    measureTickDelay(entry, time);
    switch (ownership.phase) {
    case OwnerPhase::Follower:
        checkSilentOwner(entry, time);
        if (isClaimDue(entry, time)) {
            claim(entry, time);
        }
        break;
    case OwnerPhase::Owner:
        if (entry.phase == EntryPhase::Draining || isYieldDue(entry, time) || isOverloaded(entry, time)
            || isStale(entry, time)) {
            queueRecord(entry, JournalWriter::Owner, ClaimRecord{{}, 0, ownership.token});
            ownership.phase = OwnerPhase::Releasing;
            break;
        }
        writeHeartbeat(entry, time);
        break;
    default:
        break;
    }
}

} // namespace flamingotally::dispatch
