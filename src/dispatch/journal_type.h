/**
 * @file journal_type.h What outlives every daemon: records by key in the platform's store. The newest record of a key
 * replaces the older ones, so the journal is state, not history, and nothing is lost when old records expire.
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

/** Kind of a record; also the first letter of its key. */
enum class JournalKind : std::uint8_t {
    Accepted,
    Cancelled,
    Progress,
    Claim,
    Daemon,
    Beat,
    Forgotten,
    End,
};

/** A job that was accepted. Written by whichever daemon took it from its caller. */
struct AcceptedRecord {
    JobId job = 0;
    std::string team; ///< Empty on open queues without a key.
    std::string queue;
    JobPolicy policy; ///< The queue's, at the time of acceptance.
    JobSpec spec;
    Milliseconds acceptedAt{0}; ///< Wall time of the accepting daemon, since the Unix epoch.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(job, team, queue, policy, spec, acceptedAt);
    }
};

/** A job whose cancelling was asked for. */
struct CancelledRecord {
    JobId job = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(job);
    }
};

/** How far a task is. */
struct TaskProgress {
    TaskPhase phase = TaskPhase::Waiting;
    std::uint32_t failures = 0; ///< Runs that ended as failed.
    RunNumber run = 0; ///< Number of the last run.
    std::string worker; ///< Where that run was placed; empty unless placed.
    std::string checkpoint; ///< Saved progress to resume from.
};

/** How far one occurrence of a job is. Written by the owner alone. */
struct ProgressRecord {
    JobId job = 0;
    std::uint32_t occurrence = 0;
    bool begun = false; ///< A task of it was placed at some time.
    OccurrenceOutcome outcome = OccurrenceOutcome::None;
    std::vector<TaskProgress> tasks; ///< In the order of steps, then of indexes; empty once it has ended.
};

/** Who decides. An empty name gives ownership up. */
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

/** A daemon and where its peers reach it. Written by itself at its start. */
struct DaemonRecord {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string domain;
    std::string peerAddress; ///< "IP:port".
    std::uint32_t processorMilli = 0; ///< Thousandths of a core of its host.
    Token resigned = 0; ///< Highest token under which it gives no more orders.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, incarnation, domain, peerAddress, processorMilli, resigned);
    }
};

/** Shows that the owner still writes. */
struct BeatRecord {
    Token token = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(token);
    }
};

/** Drops the records of a job that ended long ago. Only written: readers see the keys vanish. */
struct ForgottenRecord {
    JobId job = 0;
    std::uint32_t occurrences = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(job, occurrences);
    }
};

/** In the order of JournalKind. */
using JournalRecord = std::
    variant<AcceptedRecord, CancelledRecord, ProgressRecord, ClaimRecord, DaemonRecord, BeatRecord, ForgottenRecord>;

/** A record as read. */
struct JournalEntry {
    std::uint64_t offset = 0;
    std::optional<JournalRecord> record; ///< Unset when its bytes are malformed or its key was dropped.
};

/** Which of a daemon's two writers a batch belongs to. Each has its own sequence and is fenced on its own. */
enum class JournalWriter : std::uint8_t {
    Entry, ///< What any daemon writes: accepted jobs, cancels, itself.
    Owner, ///< What only the owner writes; an older token is refused.
    End,
};

/** Records that are appended all or none. */
struct JournalBatch {
    JournalWriter writer = JournalWriter::Entry;
    Token token = 0; ///< Of the owner's batches.
    std::uint64_t sequence = 0; ///< Follows the writer's last one; a batch without an answer is sent again as it is.
    std::vector<JournalRecord> records;
    Milliseconds timeout{0}; ///< How long to wait for the answer.
};

/** What is known of an append. */
enum class JournalOutcome : std::uint8_t {
    Stored,
    Refused, ///< Certainly not stored.
    Fenced, ///< A newer owner has written, or the sequence was taken by another.
    Unknown, ///< No answer: it may be stored now, later, or never.
    End,
};

/** Answer to an append. */
struct AppendResponse {
    JournalWriter writer = JournalWriter::Entry;
    std::uint64_t sequence = 0;
    JournalOutcome outcome = JournalOutcome::Unknown;
    std::uint64_t offset = 0; ///< Of the batch's first record, when stored.
};

/** Records read from the journal. */
struct JournalRead {
    std::vector<JournalEntry> entries;
    std::uint64_t nextOffset = 0; ///< All before it has been read.
    MonotonicTime askedAt{}; ///< What was stored before this time is in it or was read before.
    bool whole = false; ///< The newest record of every key, in place of those from an offset on.
    bool complete = true; ///< There was no more when it was answered; else what was stored before may be missing.
    bool failed = false; ///< No answer; all else is void.
    bool expired = false; ///< With `failed`: the offset is no longer kept.
};

} // namespace flamingotally::dispatch
