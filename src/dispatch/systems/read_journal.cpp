#include "dispatch/entry_func.h"
#include "dispatch/systems/systems.h"
#include "dispatch/work_func.h"

#include <algorithm>

namespace flamingotally::dispatch
{

namespace
{

constexpr Milliseconds retryPause{100};
constexpr Milliseconds slowAnswer{120}; ///< Beyond the time that a read may wait; the store is slow then.
constexpr Milliseconds slowMemory{3'000};
constexpr Milliseconds frozenAfter{1'000}; ///< Longer gaps between ticks mean that the process stood still.

/** Applies records; one overload a kind. */
class Applier
{
public:
    Applier(Entry &entry, const TickTime &time, std::uint64_t offset, bool live)
        : m_entry(entry), m_time(time), m_offset(offset), m_live(live)
    {
    }

    void operator()(const AcceptedRecord &record)
    {
        const auto job = insertJob(m_entry.jobs, record);
        if (job.isSet() && m_entry.isOwner()) {
            openJob(m_entry, job, m_time);
        }
    }

    void operator()(const CancelledRecord &record)
    {
        const auto it = m_entry.jobs.byId.find(record.job);
        if (it == m_entry.jobs.byId.end()) {
            return;
        }
        auto &state = m_entry.jobs.table.get<JobState>(it->second);
        if (hasEnded(state)) {
            return;
        }
        state.cancelled = true;
        state.endedAt = m_time.now;
        if (m_entry.isOwner()) {
            closeJob(m_entry, it->second, m_time);
        }
    }

    void operator()(const ProgressRecord &record)
    {
        noteOwner();
        if (const auto it = m_entry.jobs.byId.find(record.job); it != m_entry.jobs.byId.end()) {
            auto &state = m_entry.jobs.table.get<JobState>(it->second);
            applyProgress(state, record, m_offset);
            if (hasEnded(state) && state.endedAt == MonotonicTime{}) {
                state.endedAt = m_time.now;
            }
        }
    }

    void operator()(const ClaimRecord &record)
    {
        noteOwner();
        auto &ownership = m_entry.ownership;
        const bool isRelease = record.token == ownership.newest.token && record.owner.empty();
        if (record.token <= ownership.newest.token && !isRelease) {
            return;
        }
        const auto former = std::exchange(ownership.newest, record);
        const auto formerReadAt = std::exchange(ownership.newestReadAt, m_live ? m_time.now : MonotonicTime{});
        const bool isOwn = record.owner == m_entry.settings.name && record.incarnation == m_entry.incarnation;
        if (isOwn && ownership.phase == OwnerPhase::Claiming && record.token == ownership.token) {
            m_becomesOwner = true;
            ownership.former = former;
            ownership.formerHeldLong =
                formerReadAt != MonotonicTime{} && m_time.now - formerReadAt > m_entry.settings.isolationLimit;
        } else if (ownership.phase != OwnerPhase::Follower) {
            resign(m_entry, "a newer claim was read");
        }
    }

    void operator()(const DaemonRecord &record)
    {
        auto &known = m_entry.ownership.daemons[record.name];
        if (record.incarnation >= known.incarnation) {
            known = record;
        }
        if (m_entry.isOwner()) {
            noteFormerGone();
        }
    }

    /** Notes when the former owner has gone: it gave up, has resigned, or has started again. */
    void noteFormerGone()
    {
        auto &ownership = m_entry.ownership;
        const auto &former = ownership.former;
        const auto it = ownership.daemons.find(former.owner);
        const bool isGone = former.owner.empty()
            || (it != ownership.daemons.end()
                && (it->second.incarnation > former.incarnation || it->second.resigned >= former.token));
        if (!isGone || ownership.formerGoneAt != MonotonicTime{}) {
            return;
        }
        ownership.formerGoneAt = m_time.now;
        m_entry.workers.table.forEach([&](WorkerRef worker) {
            auto &link = m_entry.workers.table.get<WorkerLink>(worker);
            if (!link.known) {
                link.leaseOverAt = std::min(link.leaseOverAt, formerLeasesOverAt(m_entry));
            }
        });
    }

    void operator()(const BeatRecord & /*record*/)
    {
        noteOwner();
    }

    void operator()(const ForgottenRecord & /*record*/)
    {
    }

    bool becomesOwner() const
    {
        return m_becomesOwner;
    }

private:
    /** The newest record of a key may be old, so it does not show that the owner lives. */
    void noteOwner()
    {
        if (m_live) {
            m_entry.ownership.ownerWroteAt = m_time.now;
        }
    }

    Entry &m_entry;
    const TickTime &m_time;
    std::uint64_t m_offset;
    bool m_live;
    bool m_becomesOwner = false;
};

void becomeOwner(Entry &entry, const TickTime &time)
{
    auto &ownership = entry.ownership;
    ownership.phase = OwnerPhase::Owner;
    ownership.claimedAt = time.now;
    ownership.contactAt = time.now;
    ownership.formerGoneAt = {};
    Applier(entry, time, 0, true).noteFormerGone();
    buildWork(entry, time);
    logEvent(entry,
             EventKind::OwnershipTaken,
             0,
             "token={} jobs={} adopted_runs={}",
             ownership.token,
             entry.jobs.table.size(),
             entry.work.runs.size());
}

void applyRead(Entry &entry, const JournalRead &read, const TickTime &time)
{
    auto &view = entry.journal;
    bool becomesOwner = false;
    for (const auto &it : read.entries) {
        if (!it.record) {
            continue;
        }
        Applier applier(entry, time, it.offset, !read.whole);
        std::visit(applier, *it.record);
        becomesOwner = becomesOwner || applier.becomesOwner();
    }
    view.nextOffset = std::max(view.nextOffset, read.nextOffset);
    if (read.whole) {
        view.loaded = true;
        view.nextOffset = read.nextOffset;
    }
    entry.counters.observe(LatencyKind::Read, time.now - read.askedAt);
    const bool isSlow = read.entries.empty() && time.now - read.askedAt > view.waits + slowAnswer;
    if (isSlow) {
        view.slowUntil = time.now + slowMemory;
    }
    if (read.complete) {
        view.asOf = std::max(view.asOf, read.askedAt);
    }
    view.readAt = time.now;
    if (view.failures > 0) {
        logEvent(entry, EventKind::StoreRegained, 0, "offset={} failures={}", view.nextOffset, view.failures);
    }
    view.failures = 0;
    if (view.readingSince == MonotonicTime{}) {
        view.readingSince = time.now;
    }
    if (becomesOwner) {
        becomeOwner(entry, time);
    }
}

void noteFailure(Entry &entry, const JournalRead &read, const TickTime &time)
{
    auto &view = entry.journal;
    if (view.failures++ == 0) {
        logEvent(entry, EventKind::StoreLost, 0, "offset={} expired={}", view.nextOffset, read.expired);
    }
    view.readingSince = {};
    view.nextReadAt = time.now + retryPause;
    view.loaded = view.loaded && !read.expired;
}

} // namespace

void readJournalSystem(Entry &entry, const TickTime &time)
{
    auto &view = entry.journal;
    if (entry.tickedAt != MonotonicTime{} && time.now - entry.tickedAt > frozenAfter) {
        view.readingSince = {};
    }
    for (const auto &read : entry.inbox.journalReads) {
        view.reading = false;
        if (read.failed) {
            noteFailure(entry, read, time);
        } else {
            applyRead(entry, read, time);
            const auto gather = entry.isOwner() ? entry.settings.ownerGather : entry.settings.followerReadPause;
            view.nextReadAt = read.complete ? time.now + gather : time.now;
        }
    }
    if (view.reading) {
        return;
    }
    const bool isAwaited = view.wanted && view.failures == 0;
    if (time.now < view.nextReadAt && !isAwaited) {
        entry.wakeBy(view.nextReadAt);
        return;
    }
    view.reading = true;
    view.wanted = false;
    const auto wait = view.failures > 0 || isAwaited ? Milliseconds::zero() : entry.settings.journalWait;
    view.waits = wait;
    entry.outbox.readJournal = JournalReadRequest{!view.loaded, view.nextOffset, wait};
}

} // namespace flamingotally::dispatch
