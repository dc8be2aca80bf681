/** @file command_type.h Records of the log: one type for each command, and the batch that contains commands. */
#pragma once

#include "core/time_type.h"
#include "domain_type.h"
#include "job_base.h"
#include "profile_base.h"
#include "reason_type.h"
#include "team_base.h"
#include "worker_type.h"

#include <string>
#include <variant>
#include <vector>

namespace flamingotally
{

/** Kind of a command, as written to the log. A value is never reused for another kind. */
enum class CommandKind : std::uint8_t {
    JoinDaemon,
    LeaveDaemon,
    RegisterWorker,
    SetWorkerService,
    RemoveWorker,
    SetTeam,
    DeleteTeam,
    GrantKey,
    WithdrawKey,
    PublishProfile,
    DeleteProfile,
    SetDomain,
    SubmitJob,
    PlaceTasks,
    EndAttempts,
    MarkLapsing,
    ConfirmLapsed,
    StopAttempts,
    CancelJob,
    WithdrawTasks,
    ExpireRecords,
    SwitchVersion,
    SnapshotChunk,
    End,
};

/** Operator who changes the configuration. */
struct Author {
    KeyRef key; ///< The operator's key; unset for the bootstrap key of the settings.
    std::string label; ///< Label of the key, for the history.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(key, label);
    }
};

/** Adds an entry daemon that has started, or replaces its earlier incarnation. */
struct JoinDaemon {
    static constexpr CommandKind kind = CommandKind::JoinDaemon;
    std::string name;
    std::string peerAddress;
    std::string httpAddress;
    std::string domain; ///< Created if it does not exist.
    std::uint64_t incarnation = 0; ///< Must be higher than the incarnation that it replaces.
    std::uint32_t maxRecordVersion = 1; ///< Newest record version that the daemon can apply.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, peerAddress, httpAddress, domain, incarnation, maxRecordVersion);
    }
};

/** Marks an entry daemon as leaving when it shuts down, or removes it when its host is gone from the host list. */
struct LeaveDaemon {
    static constexpr CommandKind kind = CommandKind::LeaveDaemon;
    std::string name;
    std::uint64_t incarnation = 0; ///< Incarnation that leaves; a newer incarnation is not affected.
    bool isRemoval = false; ///< True to remove the row of the daemon; false to mark the daemon as leaving.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, incarnation, isRemoval);
    }
};

/**
 * Adds a worker that is on the host list and has reported its capacity, or updates a worker that has changed or
 * restarted.
 */
struct RegisterWorker {
    static constexpr CommandKind kind = CommandKind::RegisterWorker;
    std::string name;
    std::string address;
    std::string domain; ///< Created if it does not exist.
    std::string rack; ///< Created if it does not exist.
    Resources total;
    std::uint64_t bootId = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, address, domain, rack, total, bootId);
    }
};

/** Changes whether a worker accepts tasks. */
struct SetWorkerService {
    static constexpr CommandKind kind = CommandKind::SetWorkerService;
    WorkerRef worker;
    WorkerService service = WorkerService::Live;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(worker, service);
    }
};

/** Removes a worker that has left the host list and has no live attempt. */
struct RemoveWorker {
    static constexpr CommandKind kind = CommandKind::RemoveWorker;
    WorkerRef worker;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(worker);
    }
};

/** Creates or changes a team. */
struct SetTeam {
    static constexpr CommandKind kind = CommandKind::SetTeam;
    Author author;
    std::string name;
    TeamPolicy policy; ///< New values. The `version` member is ignored.
    std::uint64_t expectedVersion = 0; ///< Version that the author saw; zero for a new team.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(author, name, policy, expectedVersion);
    }
};

/** Deletes a team, leaving a tombstone. */
struct DeleteTeam {
    static constexpr CommandKind kind = CommandKind::DeleteTeam;
    Author author;
    std::string name;
    std::uint64_t expectedVersion = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(author, name, expectedVersion);
    }
};

/** Grants a new key. */
struct GrantKey {
    static constexpr CommandKind kind = CommandKind::GrantKey;
    Author author;
    std::string label;
    KeyDigest digest{};
    std::string team; ///< Empty for operators' keys.
    KeyRole role = KeyRole::Submitter;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(author, label, digest, team, role);
    }
};

/** Withdraws a key. */
struct WithdrawKey {
    static constexpr CommandKind kind = CommandKind::WithdrawKey;
    Author author;
    std::string label;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(author, label);
    }
};

/** Publishes a new or changed profile. */
struct PublishProfile {
    static constexpr CommandKind kind = CommandKind::PublishProfile;
    Author author;
    std::string name;
    ProfileSpec spec;
    std::uint64_t expectedVersion = 0; ///< Version that the author saw; zero for a new profile.
    std::string source; ///< Source text of the profile, for show, diff and rollback.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(author, name, spec, expectedVersion, source);
    }
};

/** Deletes a profile, leaving a tombstone. */
struct DeleteProfile {
    static constexpr CommandKind kind = CommandKind::DeleteProfile;
    Author author;
    std::string name;
    std::uint64_t expectedVersion = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(author, name, expectedVersion);
    }
};

/** Takes a failure domain out of service or puts it back into service. */
struct SetDomain {
    static constexpr CommandKind kind = CommandKind::SetDomain;
    Author author;
    std::string name;
    DomainService service = DomainService::In;
    std::uint64_t expectedVersion = 0; ///< Version that the author saw. Admission replaces zero by the current version.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(author, name, service, expectedVersion);
    }
};

/** Worker on which one task of a new job is placed. */
struct InitialPlacement {
    std::uint32_t ordinal = 0;
    WorkerRef worker;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(ordinal, worker);
    }
};

/** Accepts a job, and places those of its tasks for which the accepting daemon found free capacity. */
struct SubmitJob {
    static constexpr CommandKind kind = CommandKind::SubmitJob;
    RequestId request;
    KeyRef key; ///< Key that the request presented; unset on open queues.
    std::string name;
    ProfileRef profile;
    Resources perTask;
    std::uint32_t count = 1;
    Milliseconds runEstimate{0};
    std::string payload;
    std::uint64_t bodyDigest = 0;
    std::vector<InitialPlacement> placements; ///< A task whose placement fails the test remains waiting.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(request, key, name, profile, perTask, count, runEstimate, payload, bodyDigest, placements);
    }
};

/** Worker on which one waiting task is placed. */
struct Placement {
    TaskRef task;
    WorkerRef worker;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(task, worker);
    }
};

/** Places waiting tasks. A gang is placed by one command, all of its members or none. */
struct PlaceTasks {
    static constexpr CommandKind kind = CommandKind::PlaceTasks;
    std::vector<Placement> placements;
    bool allOrNone = false; ///< Whether the whole command is rejected if one placement fails the test.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(placements, allOrNone);
    }
};

/** End of an attempt, as reported by its worker. */
struct AttemptEnd {
    AttemptNumber attempt = 0;
    Outcome outcome = Outcome::None;
    TaskResult result;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(attempt, outcome, result);
    }
};

/** Ends attempts and frees the capacity reserved for them. */
struct EndAttempts {
    static constexpr CommandKind kind = CommandKind::EndAttempts;
    std::vector<AttemptEnd> ends;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(ends);
    }
};

/**
 * First step of letting leases expire without a report from the worker: marks attempts as lapsing. From this offset
 * on, no daemon with a fresh view renews their leases.
 */
struct MarkLapsing {
    static constexpr CommandKind kind = CommandKind::MarkLapsing;
    std::vector<AttemptNumber> attempts;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(attempts);
    }
};

/**
 * Second step of letting leases expire: ends attempts that are marked as lapsing, as lost. A daemon proposes it once
 * the fence, the lease and a margin have passed since it read the mark.
 */
struct ConfirmLapsed {
    static constexpr CommandKind kind = CommandKind::ConfirmLapsed;
    std::vector<AttemptNumber> attempts;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(attempts);
    }
};

/** Requests that attempts be stopped. An attempt ends only when its worker reports the end. */
struct StopAttempts {
    static constexpr CommandKind kind = CommandKind::StopAttempts;
    std::vector<AttemptNumber> attempts;
    StopCause cause = StopCause::Preempted;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(attempts, cause);
    }
};

/** Cancels a job: ends its waiting tasks and stops its placed tasks. */
struct CancelJob {
    static constexpr CommandKind kind = CommandKind::CancelJob;
    RequestId request;
    KeyRef key; ///< Key of the job's team or of an operator; unset for the bootstrap key and for open queues.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(request, key);
    }
};

/** Ends waiting tasks whose deadline has passed or that fail on every worker. */
struct WithdrawTasks {
    static constexpr CommandKind kind = CommandKind::WithdrawTasks;
    std::vector<TaskRef> tasks;
    Outcome outcome = Outcome::Withdrawn; ///< `Withdrawn` after the deadline; `Failed` for tasks that fail everywhere.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(tasks, outcome);
    }
};

/** Deletes ended jobs, request ids and history that are older than their retention times. */
struct ExpireRecords {
    static constexpr CommandKind kind = CommandKind::ExpireRecords;
    LogTime jobsEndedBefore{}; ///< Jobs that ended before this time are deleted.
    LogTime requestsIssuedBefore{}; ///< Must not be later than the record's time minus limits::requestWindow.
    std::uint32_t historyRetained = 1000; ///< Number of newest changes that are retained.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(jobsEndedBefore, requestsIssuedBefore, historyRetained);
    }
};

/** Switches all daemons to the next record version. Rejected until every daemon supports it. */
struct SwitchVersion {
    static constexpr CommandKind kind = CommandKind::SwitchVersion;
    std::uint32_t recordVersion = 1;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(recordVersion);
    }
};

/** Part of a snapshot of the tables. Changes nothing when applied; daemons that load a snapshot collect its parts. */
struct SnapshotChunk {
    static constexpr CommandKind kind = CommandKind::SnapshotChunk;
    std::uint64_t snapshotOffset = 0; ///< Offset that the encoded tables had reached.
    std::uint64_t stateDigest = 0; ///< Digest of the tables at that offset.
    std::uint32_t index = 0; ///< Index of this part.
    std::uint32_t count = 0; ///< Number of parts.
    std::string bytes;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(snapshotOffset, stateDigest, index, count, bytes);
    }
};

/** Any command. The alternatives are in the order of CommandKind. */
using Command = std::variant<JoinDaemon,
                             LeaveDaemon,
                             RegisterWorker,
                             SetWorkerService,
                             RemoveWorker,
                             SetTeam,
                             DeleteTeam,
                             GrantKey,
                             WithdrawKey,
                             PublishProfile,
                             DeleteProfile,
                             SetDomain,
                             SubmitJob,
                             PlaceTasks,
                             EndAttempts,
                             MarkLapsing,
                             ConfirmLapsed,
                             StopAttempts,
                             CancelJob,
                             WithdrawTasks,
                             ExpireRecords,
                             SwitchVersion,
                             SnapshotChunk>;
static_assert(std::variant_size_v<Command> == static_cast<std::size_t>(CommandKind::End));

/** Commands that one daemon appends together as one record of the log. */
struct Batch {
    std::uint32_t recordVersion = 1; ///< Selects the encoding of the batch and how daemons apply it.
    std::string daemon; ///< Name of the proposer.
    std::uint64_t incarnation = 0; ///< Incarnation of the proposer.
    std::uint64_t sequence = 0; ///< Starts at 1 and increases with every batch of an incarnation.
    std::vector<Command> commands; ///< Applied in order; each is tested separately.
};

/** Result of decoding a record of the log. */
enum class EntryState : std::uint8_t {
    Readable, ///< Decoded to a batch.
    Malformed, ///< Not a batch. All daemons skip it in the same way.
    NewerVersion, ///< Has a newer record version. This daemon must not apply any later record.
    End,
};

/** A record as read back from the log. */
struct LogEntry {
    std::uint64_t offset = 0;
    LogTime appendedAt{}; ///< Time at which the log stored the record.
    Batch batch;
    EntryState state = EntryState::Readable; ///< The batch is valid only if this is `Readable`.
};

/** Result of applying one command. */
struct CommandResult {
    Reason reason = Reason::None; ///< Reason why the whole command was rejected; `None` when it passed its test.
    std::uint64_t offset = 0; ///< Offset of the record.
    std::uint64_t version = 0; ///< New version of the changed team, key, profile or domain; zero for other commands.
    std::uint32_t accepted = 0; ///< Number of parts (placements, ends, stops, tasks) that passed the test.
    std::uint32_t rejected = 0; ///< Number of parts that failed the test.
    Reason lastPartReason = Reason::None; ///< Reason of the last rejected part.
    JobRef job; ///< Job that the command created or refers to, for SubmitJob and CancelJob.
};

} // namespace flamingotally
