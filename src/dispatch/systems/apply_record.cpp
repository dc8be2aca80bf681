#include "dispatch/systems/apply_record.h"

#include "dispatch/compaction_func.h"
#include "dispatch/entry_func.h"
#include "dispatch/opening_func.h"
#include "dispatch/policy/admission_policy.h"
#include "dispatch/team_use_func.h"
#include "dispatch/work_func.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace flamingotally::dispatch
{

namespace
{

/** Applies one record of the journal to the entry daemon's state; it has an overload for each kind of record. */
class RecordApplier
{
public:
    /**
     * Creates an applier for one record.
     * @param offset Offset of the record in the journal.
     * @param isIncremental The record was read from an offset on, not as part of the newest records of all keys.
     */
    RecordApplier(Entry &entry, const TickTime &time, std::uint64_t offset, bool isIncremental)
        : m_entry(entry), m_time(time), m_offset(offset), m_isIncremental(isIncremental)
    {
    }

    void operator()(const AcceptedRecord &record)
    {
        if (m_isIncremental) {
            m_entry.admission.unread.erase(record.job); // a load may fail, and then the record counts as unread again
        }
        if (const auto it = m_entry.jobs.byId.find(record.job); it != m_entry.jobs.byId.end()) {
            applyRepeatedRecord(m_entry, it->second, record);
            return;
        }
        if (m_isIncremental && isCompact(record.spec)) {
            return; // this daemon has removed the job at the end of its retention
        }
        const auto job = insertJob(m_entry.jobs, record);
        if (m_isIncremental) {
            addAccepted(m_entry.admission.load, record);
        }
        if (m_entry.jobs.cancelledEarly.erase(record.job) > 0) {
            auto &state = m_entry.jobs.table.get<JobState>(job);
            state.cancelled = true;
            state.endedAt = m_time.now;
        }
        if (m_entry.isOwner()) {
            openJob(m_entry, job, m_time);
        }
    }

    void operator()(const CancelledRecord &record)
    {
        const auto it = m_entry.jobs.byId.find(record.job);
        if (it == m_entry.jobs.byId.end()) {
            m_entry.jobs.cancelledEarly.try_emplace(record.job, m_time.now);
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
            noteFinishedJob(m_entry, it->second);
        }
    }

    void operator()(const ProgressRecord &record)
    {
        recordOwnerActivity();
        if (const auto it = m_entry.jobs.byId.find(record.job); it != m_entry.jobs.byId.end()) {
            auto &state = m_entry.jobs.table.get<JobState>(it->second);
            applyProgress(state, record, m_offset);
            if (hasEnded(state) && state.endedAt == MonotonicTime{}) {
                state.endedAt = m_time.now;
                if (m_entry.isOwner()) {
                    closeJob(m_entry, it->second, m_time); // occurrences may have been opened since the job failed
                    noteFinishedJob(m_entry, it->second);
                }
            }
        }
    }

    void operator()(const ClaimRecord &record)
    {
        recordOwnerActivity();
        auto &ownership = m_entry.ownership;
        const bool isRelease = record.token == ownership.newest.token && record.owner.empty();
        if (record.token <= ownership.newest.token && !isRelease) {
            return;
        }
        m_entry.admission.load = {};
        const auto previous = std::exchange(ownership.newest, record);
        const auto previousReadAt =
            std::exchange(ownership.newestReadAt, m_isIncremental ? m_time.now : MonotonicTime{});
        const bool isOwn = record.owner == m_entry.settings.name && record.incarnation == m_entry.incarnation;
        if (isOwn && ownership.phase == OwnerPhase::Claiming && record.token == ownership.token) {
            m_becomesOwner = true;
            ownership.previous = previous;
            ownership.earlierOwnersExpired =
                previousReadAt != MonotonicTime{} && m_time.now - previousReadAt > m_entry.settings.isolationLimit;
        } else if (ownership.phase != OwnerPhase::Follower) {
            resign(m_entry, "newer claim read from the journal");
        }
    }

    void operator()(const DaemonRecord &record)
    {
        auto &known = m_entry.ownership.daemons[record.name];
        if (record.incarnation >= known.record.incarnation) {
            known = {record, m_time.now, true};
        }
        if (m_entry.isOwner()) {
            updatePreviousOwner();
        }
    }

    /**
     * Records the time if the previous owner is now known to have stopped: it released ownership, resigned or
     * restarted. Then the leases of workers that have not responded to this owner yet may expire earlier.
     */
    void updatePreviousOwner()
    {
        auto &ownership = m_entry.ownership;
        const auto &previous = ownership.previous;
        const auto it = ownership.daemons.find(previous.owner);
        const bool hasStopped = previous.owner.empty()
            || (it != ownership.daemons.end()
                && (it->second.record.incarnation > previous.incarnation
                    || it->second.record.resigned >= previous.token));
        if (!hasStopped || ownership.previousOwnerStoppedAt != MonotonicTime{}) {
            return;
        }
        ownership.previousOwnerStoppedAt = m_time.now;
        m_entry.workers.table.forEach([&](WorkerRef worker) {
            auto &link = m_entry.workers.table.get<WorkerLink>(worker);
            if (!link.hasResponded) {
                link.leaseExpiresAt = std::min(link.leaseExpiresAt, previousLeasesExpireAt(m_entry));
            }
        });
    }

    void operator()(const HeartbeatRecord & /*record*/)
    {
        recordOwnerActivity();
    }

    /** Keeps an estimate of the present owner. The age of one from the initial load is not known, so it is ignored. */
    void operator()(const PoolLoadRecord &record)
    {
        recordOwnerActivity();
        if (m_isIncremental && record.token == m_entry.ownership.newest.token && isValid(record)) {
            m_entry.admission.load = {record, m_time.now, {}};
        }
    }

    void operator()(const RemovedRecord & /*record*/)
    {
    }

    void operator()(const RemovedDaemonRecord & /*record*/)
    {
    }

    void operator()(const TeamUseRecord &record)
    {
        recordOwnerActivity();
        applyTeamUse(m_entry, record);
    }

    /** Returns true if the record is this daemon's own claim, so that the daemon becomes the owner. */
    bool becomesOwner() const
    {
        return m_becomesOwner;
    }

private:
    /** Records that the owner has written just now. Records of the initial load may be old, so they do not count. */
    void recordOwnerActivity()
    {
        if (m_isIncremental) {
            m_entry.ownership.ownerWroteAt = m_time.now;
        }
    }

    Entry &m_entry;
    const TickTime &m_time;
    std::uint64_t m_offset;
    bool m_isIncremental;
    bool m_becomesOwner = false;
};

} // namespace

bool applyRecord(
    Entry &entry, const JournalRecord &record, std::uint64_t offset, bool isIncremental, const TickTime &time)
{
    RecordApplier applier(entry, time, offset, isIncremental);
    std::visit(applier, record);
    return applier.becomesOwner();
}

void applyStoredRecord(Entry &entry, const JournalRecord &record, std::uint64_t offset, const TickTime &time)
{
    applyRecord(entry, record, offset, true, time);
}

void becomeOwner(Entry &entry, const TickTime &time)
{
    auto &ownership = entry.ownership;
    ownership.phase = OwnerPhase::Owner;
    ownership.claimedAt = time.now;
    ownership.storedBatchSentAt = time.now;
    ownership.storingSince = time.now;
    ownership.freshViewsAt = {};
    ownership.previousOwnerStoppedAt = {};
    RecordApplier(entry, time, 0, true).updatePreviousOwner();
    buildWork(entry, time);
    logEvent(entry,
             EventKind::OwnershipTaken,
             0,
             "token={} jobs={} adopted_runs={}",
             ownership.token,
             entry.jobs.table.size(),
             entry.work.runs.size());
}

} // namespace flamingotally::dispatch
