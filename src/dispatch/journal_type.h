/**
 * @file journal_type.h The state that outlives the daemons: records by key in the platform's store. The newest record
 * of a key replaces the older ones, so the journal is state, not history, and nothing is lost when old records expire.
 */
#pragma once

#include "dispatch/job_type.h"
#include "dispatch/queue_type.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace flamingotally::dispatch
{

/** Kind of a record. It determines the first letter of the record's key. */
enum class JournalKind : std::uint8_t {
    Accepted,
    Cancelled,
    Progress,
    Claim,
    Daemon,
    Heartbeat,
    Removed,
    RemovedDaemon,
    PoolLoad,
    TeamUse,
    End,
};

/**
 * A job that was accepted. The record is written by the daemon that received the job from its caller. When the job has
 * ended, the owner writes it again as a compact record, in which the specification has neither payload nor steps.
 */
struct AcceptedRecord {
    JobId job = 0;
    std::string team; ///< Empty on open queues without a key.
    std::string queue;
    JobPolicy policy; ///< Copy of the queue's policy at the time of acceptance.
    JobSpec spec;
    Milliseconds acceptedAt{0}; ///< Wall time of the accepting daemon, since the Unix epoch.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(job, team, queue, policy, spec, acceptedAt);
    }
};

/** A job whose cancellation was requested. */
struct CancelledRecord {
    JobId job = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(job);
    }
};

/** Progress of a task. */
struct TaskProgress {
    TaskPhase phase = TaskPhase::Waiting;
    std::uint32_t failures = 0; ///< Number of failed runs; for an endless step, number of short runs in a row.
    RunNumber run = 0; ///< Number of the last run.
    std::string worker; ///< Id of the worker of the last run; empty unless the task is placed.
    std::string checkpoint; ///< Last checkpoint, from which the next run resumes.
    /** Weighted crashes of which its runs are suspected; for a member of a gang, that of the gang. */
    std::uint32_t crashWeight = 0;
};

/** Progress of one occurrence of a job. Only the owner writes it. */
struct ProgressRecord {
    JobId job = 0;
    std::uint32_t occurrence = 0;
    bool begun = false; ///< A task has been placed, and not all placements were given up before a run had started.
    OccurrenceOutcome outcome = OccurrenceOutcome::None;
    std::vector<TaskProgress> tasks; ///< Ordered by step, then by index; empty once the occurrence has ended.
};

/** A claim of ownership. An empty owner releases ownership. */
struct ClaimRecord {
    std::string owner;
    std::uint64_t incarnation = 0;
    Token token = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(owner, incarnation, token);
    }
};

/**
 * A daemon and its address for peers. Each daemon writes its own record when it starts, when it loses ownership, and at
 * intervals: one that has written none for long is gone.
 */
struct DaemonRecord {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string domain;
    std::string peerAddress; ///< "IP:port".
    std::uint32_t processorMilli = 0; ///< Processor share of its host in thousandths of a core.
    Token resigned = 0; ///< The daemon sends no more orders under fencing tokens up to this one.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, incarnation, domain, peerAddress, processorMilli, resigned);
    }
};

/** Heartbeat of the owner, which the owner writes when it has nothing else to write. */
struct HeartbeatRecord {
    Token token = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(token);
    }
};

/**
 * Removes keys of a job after its retention period: those of the progress of some occurrences, and unless further
 * records follow, those of the job. The record is never read back: readers see the keys disappear.
 */
struct RemovedRecord {
    JobId job = 0;
    std::uint32_t occurrences = 0; ///< Number of occurrences whose progress is removed.
    std::uint32_t first = 0; ///< The first of these occurrences.
    bool keepsJob = false; ///< The progress of other occurrences is still stored.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(job, occurrences, first, keepsJob);
    }
};

/** Removes the key of a daemon that is gone. Like RemovedRecord, it is never read back. */
struct RemovedDaemonRecord {
    std::string name;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name);
    }
};

/** Waiting work of a team. */
struct TeamLoad {
    std::string team;
    std::int64_t work = 0; ///< In core-milliseconds; an accelerator counts as 8 cores.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(team, work);
    }
};

/** Waiting work of one priority that is still useful. */
struct PriorityLoad {
    std::uint32_t priority = 0;
    std::int64_t inTime = 0; ///< Of occurrences that can end within their objective, in core-milliseconds.
    std::int64_t late = 0; ///< Of other occurrences that can still end within three times their objective.
    std::vector<TeamLoad> teams; ///< Teams that hold their share of this work or more, with all of theirs.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(priority, inTime, late, teams);
    }
};

/** Load of a pool without free capacity. */
struct PoolLoad {
    std::string pool;
    Resources blockedDemand; ///< Smallest demand of a waiting task for which no worker has capacity.
    std::int64_t drainMilli = 0; ///< Work done, in thousandths of a core-millisecond per millisecond; zero if unknown.
    std::vector<PriorityLoad> priorities; ///< The most urgent one first.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(pool, blockedDemand, drainMilli, priorities);
    }
};

/** The owner's newest estimate of the load of all pools without free capacity. */
struct PoolLoadRecord {
    Token token = 0; ///< Fencing token of the owner.
    std::vector<PoolLoad> pools;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(token, pools);
    }
};

/** Past use of one team. */
struct TeamUseRow {
    std::string team;
    std::uint64_t milliCores = 0; ///< Decaying average of its use, in thousandths of a core.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(team, milliCores);
    }
};

/** Past use of the teams that are not idle. The owner writes it at intervals, for the next owner. */
struct TeamUseRecord {
    Milliseconds writtenAt{0}; ///< Wall time of the owner, since the Unix epoch.
    std::vector<TeamUseRow> teams; ///< Sorted by name.
    bool isMalformed = false; ///< The stored bytes could not be decoded; never encoded.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(writtenAt, teams);
    }
};

/** A record of any kind, in the order of JournalKind. */
using JournalRecord = std::variant<AcceptedRecord,
                                   CancelledRecord,
                                   ProgressRecord,
                                   ClaimRecord,
                                   DaemonRecord,
                                   HeartbeatRecord,
                                   RemovedRecord,
                                   RemovedDaemonRecord,
                                   PoolLoadRecord,
                                   TeamUseRecord>;

/** A record with its offset, as read from the journal. */
struct JournalEntry {
    std::uint64_t offset = 0;
    std::optional<JournalRecord> record; ///< Unset when its bytes are malformed or its key was removed.
};

/** The two writers of a daemon. Each has its own sequence numbers and its own fencing token. */
enum class JournalWriter : std::uint8_t {
    Entry, ///< Writes records of any daemon: accepted jobs, cancellations, the daemon's own record.
    Owner, ///< Writes records of the owner; the store refuses an older token.
    End,
};

/** Records that are appended atomically. */
struct JournalBatch {
    JournalWriter writer = JournalWriter::Entry;
    Token token = 0; ///< Fencing token of the writer.
    /** Higher by one than that of the writer's previous batch; unchanged when the batch is resent. */
    std::uint64_t sequence = 0;
    std::vector<JournalRecord> records;
    Milliseconds timeout{0}; ///< How long to wait for the store's response.
};

/** Outcome of an append. */
enum class JournalOutcome : std::uint8_t {
    Stored,
    Refused, ///< Certainly not stored.
    Fenced, ///< The store has seen a higher token, or another batch with this sequence number.
    Unknown, ///< No response: the batch may be stored now, later or never.
    End,
};

/** Response to an append. */
struct AppendResponse {
    JournalWriter writer = JournalWriter::Entry;
    std::uint64_t sequence = 0;
    JournalOutcome outcome = JournalOutcome::Unknown;
    std::uint64_t offset = 0; ///< Offset of the batch's first record, when stored.
    Token token = 0; ///< Token of the batch: sequence numbers begin anew with each token.
};

/** From where a daemon reads the journal. */
enum class JournalSource : std::uint8_t {
    Store,
    Reader, ///< The daemon that reads the journal for its region.
    End,
};

/** Result of a read of the journal from the region's reader. */
enum class ShareResult : std::uint8_t {
    Records,
    Snapshot,
    NotHeld, ///< The reader does not hold the records from the requested offset on.
    NotLoaded, ///< The reader has no recent view of the journal yet.
    Behind, ///< The requested offset is beyond the reader's view.
    Superseded, ///< The daemon has sent a newer request.
    TooLarge, ///< The snapshot is too large for a response.
    NoResponse, ///< The reader sent no valid response. It never sends this value.
    End,
};

/** A record as the store keeps it. */
struct StoredRecord {
    std::uint64_t offset = 0;
    std::string key;
    std::string value; ///< Empty if the key was removed.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(offset, key, value);
    }
};

/** Response to a read of the journal. */
struct JournalRead {
    std::vector<JournalEntry> entries;
    std::uint64_t nextOffset = 0; ///< Offset at which the next read begins.
    MonotonicTime sentAt{}; ///< When the read was sent; records stored earlier are in this read or in earlier ones.
    bool isSnapshot = false; ///< Contains the newest record of every key instead of the records from an offset on.
    std::uint64_t load = 0; ///< Number of the load of which this is a page; see JournalReadRequest::load.
    bool isLastPage = true; ///< With `load`: the page is the last one, or the load has failed.
    bool complete = true; ///< Reaches the end of the journal; otherwise records stored before `sentAt` may be missing.
    bool failed = false; ///< The read failed; only `sentAt` and `expired` are valid.
    bool expired = false; ///< With `failed`: the store no longer retains the requested offset.
    std::uint64_t number = 0; ///< Number of the request.
    bool daemonsOnly = false; ///< Contains only the records of daemons and the newest claim.
    Milliseconds responseTime{0}; ///< From the send of the request to the arrival of the response.
    std::vector<StoredRecord> raw; ///< The records as stored, if the request asked for them.
    bool hasRaw = false; ///< The request asked for `raw`.
    JournalSource source = JournalSource::Store;
    ShareResult shareResult = ShareResult::NoResponse; ///< Result of a read from the region's reader.
    /** From the region's reader: age of its view when the request arrived; negative if the view is newer than that. */
    Milliseconds lag{0};
    Milliseconds readerAge{0}; ///< Age of the reader's view when it responded.
    bool isCurrent = false; ///< The reader knew of no missing records that were stored before the request arrived.
};

} // namespace flamingotally::dispatch
