#include "dispatch/entry_func.h"
#include "dispatch/systems/systems.h"

#include <absl/hash/hash.h>

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

constexpr int slowStagger = 4; ///< Claims stand in line at a slow store, so daemons leave more time between them.
constexpr Milliseconds readLag{700}; ///< The journal must have been read this lately for silence to mean anything.
constexpr int slowFactor = 2; ///< Silence counts for less while the store answers slowly.
constexpr std::uint32_t largerFactor = 2; ///< A host with so many times the processor decides rather than this one.
constexpr Milliseconds smallStagger{300}; ///< Such a host leaves the larger ones time to read that nobody decides.
constexpr Milliseconds yieldTime{2'000}; ///< For a larger host to be back, and for the work to be in hand.
constexpr Milliseconds yieldInterval{
    15'000}; ///< For an owner that came after a release: the larger hosts may be out of reach.
constexpr Milliseconds yieldBackoff{1'500}; ///< For the larger hosts to read that they may claim.
constexpr std::uint64_t firstSequences = 1'000'000'007; ///< Claims of two daemons under one token differ in these.

/** Order of a daemon among those that claim after a token: larger hosts first, else it differs from token to token. */
std::pair<std::int64_t, std::uint64_t> claimKey(const DaemonRecord &daemon, Token token)
{
    std::uint64_t hash = 14'695'981'039'346'656'037ULL ^ token;
    for (const char c : daemon.name) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1'099'511'628'211ULL;
    }
    return {-static_cast<std::int64_t>(daemon.processorMilli), hash};
}

/** Place of this daemon in the order in which daemons claim after a token. */
std::size_t rankAfter(const Entry &entry, Token token)
{
    const auto own = claimKey(ownRecord(entry), token);
    std::size_t rank = 0;
    for (const auto &[name, record] : entry.ownership.daemons) {
        rank += claimKey(record, token) < own ? 1 : 0;
    }
    return rank;
}

/** Tells whether a daemon is known whose host is so much larger that it decides rather than this one. */
bool isSmall(const Entry &entry)
{
    const auto own = processorMilli(entry.settings);
    return own > 0 && std::ranges::any_of(entry.ownership.daemons, [own](const auto &it) {
               return it.second.processorMilli >= largerFactor * own;
           });
}

/** Tells whether the owner of the newest claim is certainly no more: it gave up, or has started again since. */
bool isOwnerGone(const Entry &entry)
{
    const auto &newest = entry.ownership.newest;
    if (newest.owner.empty()) {
        return true;
    }
    const auto it = entry.ownership.daemons.find(newest.owner);
    return it != entry.ownership.daemons.end() && it->second.incarnation > newest.incarnation;
}

/** When this daemon may claim; far in the future while the journal shows an owner or cannot be read. */
bool isClaimDue(Entry &entry, const TickTime &time)
{
    const auto &ownership = entry.ownership;
    const auto &journal = entry.journal;
    if (entry.phase != EntryPhase::Serving || journal.readingSince == MonotonicTime{}
        || time.now - journal.asOf > readLag + entry.settings.journalWait || time.now < ownership.backoffUntil) {
        return false;
    }
    const bool isSlow = time.now < journal.slowUntil;
    const auto stagger = entry.settings.claimStagger * (isSlow ? slowStagger : 1)
            * static_cast<std::int64_t>(rankAfter(entry, ownership.newest.token))
        + (isSmall(entry) ? smallStagger : Milliseconds::zero());
    const auto quietSince = std::max(ownership.ownerWroteAt, journal.readingSince);
    const auto silence = entry.settings.ownerTimeout * (isSlow ? slowFactor : 1);
    const auto dueAt = quietSince + stagger + (isOwnerGone(entry) ? Milliseconds{0} : silence);
    entry.wakeBy(dueAt);
    return time.now >= dueAt && (isOwnerGone(entry) || journal.readAt >= quietSince + silence);
}

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
    writer.sequence = 1 + absl::HashOf(entry.settings.name, entry.incarnation) % firstSequences;
    write(entry, JournalWriter::Owner, ClaimRecord{entry.settings.name, entry.incarnation, ownership.token});
    logEvent(entry,
             EventKind::OwnershipClaimed,
             0,
             "token={} former_owner={} silent_ms={}",
             ownership.token,
             ownership.newest.owner,
             (time.now - ownership.ownerWroteAt).count());
}

/**
 * Tells whether this owner is to make way for a larger host. One that came after a release makes way later: the larger
 * hosts could have claimed and did not.
 */
bool isYieldDue(Entry &entry, const TickTime &time)
{
    auto &ownership = entry.ownership;
    const bool isCalm = time.now >= entry.journal.slowUntil && entry.journal.failures == 0;
    const bool isAfterRelease = ownership.former.owner.empty() && ownership.former.token > 0;
    const auto dueAt = ownership.claimedAt + (isAfterRelease ? yieldInterval : yieldTime);
    if (!isSmall(entry) || !isCalm || time.now < dueAt) {
        return false;
    }
    ownership.backoffUntil = time.now + yieldBackoff;
    return true;
}

void beat(Entry &entry, const TickTime &time)
{
    auto &writer = entry.writer(JournalWriter::Owner);
    const auto dueAt = writer.sentAt + entry.settings.beatInterval;
    entry.wakeBy(dueAt);
    if (time.now >= dueAt && writer.queue.empty() && !writer.batch && entry.work.dirty.empty()) {
        write(entry, JournalWriter::Owner, BeatRecord{entry.ownership.token});
    }
}

} // namespace

void ownershipSystem(Entry &entry, const TickTime &time)
{
    const bool isReady = entry.journal.loaded && entry.config.known;
    if (entry.phase == EntryPhase::CatchingUp && isReady) {
        entry.phase = EntryPhase::Serving;
    }
    if (!entry.introduced && entry.journal.loaded) {
        entry.introduced = true;
        write(entry, JournalWriter::Entry, ownRecord(entry));
    }
    auto &ownership = entry.ownership;
    switch (ownership.phase) {
    case OwnerPhase::Follower:
        if (isClaimDue(entry, time)) {
            claim(entry, time);
        }
        break;
    case OwnerPhase::Owner:
        if (entry.phase == EntryPhase::Draining || isYieldDue(entry, time)) {
            write(entry, JournalWriter::Owner, ClaimRecord{{}, 0, ownership.token});
            ownership.phase = OwnerPhase::Releasing;
            break;
        }
        beat(entry, time);
        break;
    default:
        break;
    }
}

} // namespace flamingotally::dispatch
