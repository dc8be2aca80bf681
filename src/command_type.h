/** @file command_type.h The records of the log: one type a command, and the batch that carries them. */
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

/** Kind of a command, as written into the log. Values are never used for another kind. */
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

/** Who changes the configuration. */
struct Author {
    KeyRef key; ///< The operator's key; unset for the bootstrap key of the settings.
    std::string label; ///< Its label, for the history.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(key, label);
    }
};

/** An entry daemon starts, or starts anew. */
struct JoinDaemon {
    static constexpr CommandKind kind = CommandKind::JoinDaemon;
    std::string name;
    std::string peerAddress;
    std::string httpAddress;
    std::string domain; ///< Created when it is not known yet.
    std::uint64_t incarnation = 0; ///< Must be higher than the one it replaces.
    std::uint32_t maxRecordVersion = 1;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, peerAddress, httpAddress, domain, incarnation, maxRecordVersion);
    }
};

/** An entry daemon is gone: it shuts down, or the host list says that its host is no more. */
struct LeaveDaemon {
    static constexpr CommandKind kind = CommandKind::LeaveDaemon;
    std::string name;
    std::uint64_t incarnation = 0; ///< Incarnation that leaves; a newer one stays.
    bool remove = false; ///< Drop the row; else it is only marked as leaving.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, incarnation, remove);
    }
};

/** A worker was seen on the host list and has reported what it has, or has been restarted. */
struct RegisterWorker {
    static constexpr CommandKind kind = CommandKind::RegisterWorker;
    std::string name;
    std::string address;
    std::string domain; ///< Created when it is not known yet.
    std::string rack; ///< Created when it is not known yet.
    Resources total;
    std::uint64_t bootId = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(name, address, domain, rack, total, bootId);
    }
};

/** A worker begins or ceases to take tasks. */
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

/** A worker that holds no attempt has left the host list. */
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
    TeamPolicy policy; ///< Its version is ignored.
    std::uint64_t expectedVersion = 0; ///< Version that the author saw; zero for a new team.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(author, name, policy, expectedVersion);
    }
};

/** Puts a tombstone on a team. */
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

/** Grants a key. */
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

/** Publishes a profile, new or changed. */
struct PublishProfile {
    static constexpr CommandKind kind = CommandKind::PublishProfile;
    Author author;
    std::string name;
    ProfileSpec spec;
    std::uint64_t expectedVersion = 0; ///< Version that the author saw; zero for a new profile.
    std::string source; ///< Its text, for show, diff and rollback.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(author, name, spec, expectedVersion, source);
    }
};

/** Puts a tombstone on a profile. */
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

/** Takes a failure domain out of service or back in. */
struct SetDomain {
    static constexpr CommandKind kind = CommandKind::SetDomain;
    Author author;
    std::string name;
    DomainService service = DomainService::In;
    std::uint64_t expectedVersion = 0; ///< Version that the author saw. Admission fills in zero.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(author, name, service, expectedVersion);
    }
};

/** Where one task of a new job is to run. */
struct InitialPlacement {
    std::uint32_t ordinal = 0;
    WorkerRef worker;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(ordinal, worker);
    }
};

/** Accepts a job, and places what its acceptor found room for. */
struct SubmitJob {
    static constexpr CommandKind kind = CommandKind::SubmitJob;
    RequestId request;
    KeyRef key; ///< Key that came with it; unset on open queues.
    std::string name;
    ProfileRef profile;
    Resources perTask;
    std::uint32_t count = 1;
    Milliseconds runEstimate{0};
    std::string payload;
    std::uint64_t bodyDigest = 0;
    std::vector<InitialPlacement> placements; ///< Tasks whose placement fails the test wait instead.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(request, key, name, profile, perTask, count, runEstimate, payload, bodyDigest, placements);
    }
};

/** Where one waiting task is to run. */
struct Placement {
    TaskRef task;
    WorkerRef worker;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(task, worker);
    }
};

/** Places waiting tasks. A gang is placed by one command, all members or none. */
struct PlaceTasks {
    static constexpr CommandKind kind = CommandKind::PlaceTasks;
    std::vector<Placement> placements;
    bool allOrNone = false; ///< Reject the whole command when one placement fails the test.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(placements, allOrNone);
    }
};

/** How an attempt ended, as its worker reported. */
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

/** Attempts have ended. Frees what they held. */
struct EndAttempts {
    static constexpr CommandKind kind = CommandKind::EndAttempts;
    std::vector<AttemptEnd> ends;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(ends);
    }
};

/** First step of ending doubtful attempts: from this offset no fresh daemon renews their leases. */
struct MarkLapsing {
    static constexpr CommandKind kind = CommandKind::MarkLapsing;
    std::vector<AttemptNumber> attempts;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(attempts);
    }
};

/** Second step: the fence, the lease and a margin have passed since the proposer read the mark. */
struct ConfirmLapsed {
    static constexpr CommandKind kind = CommandKind::ConfirmLapsed;
    std::vector<AttemptNumber> attempts;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(attempts);
    }
};

/** Attempts are to be stopped; they end when their worker says so. */
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

/** Cancels a job: waiting tasks end, running ones are stopped. */
struct CancelJob {
    static constexpr CommandKind kind = CommandKind::CancelJob;
    RequestId request;
    KeyRef key; ///< Key of the job's team, or an operator's; unset for the bootstrap key and for open queues.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(request, key);
    }
};

/** Ends waiting tasks whose deadline has passed or that can never succeed. */
struct WithdrawTasks {
    static constexpr CommandKind kind = CommandKind::WithdrawTasks;
    std::vector<TaskRef> tasks;
    Outcome outcome = Outcome::Withdrawn; ///< `Withdrawn`, or `Failed` for what fails everywhere.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(tasks, outcome);
    }
};

/** Drops ended jobs, request ids and history that are older than their windows. */
struct ExpireRecords {
    static constexpr CommandKind kind = CommandKind::ExpireRecords;
    LogTime jobsEndedBefore{};
    LogTime requestsIssuedBefore{}; ///< Never later than the log's time less the window.
    std::uint32_t historyRetained = 1000; ///< Newest changes that stay.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(jobsEndedBefore, requestsIssuedBefore, historyRetained);
    }
};

/** Switches on newer apply behaviour, once every daemon supports it. */
struct SwitchVersion {
    static constexpr CommandKind kind = CommandKind::SwitchVersion;
    std::uint32_t recordVersion = 1;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(recordVersion);
    }
};

/** Part of a snapshot of the tables. Changes nothing; loaders collect the parts. */
struct SnapshotChunk {
    static constexpr CommandKind kind = CommandKind::SnapshotChunk;
    std::uint64_t snapshotOffset = 0; ///< The tables were at this offset.
    std::uint64_t stateDigest = 0; ///< Digest of the tables at that offset.
    std::uint32_t index = 0; ///< Place of this part.
    std::uint32_t count = 0; ///< Number of parts.
    std::string bytes;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(snapshotOffset, stateDigest, index, count, bytes);
    }
};

/** Any command, in the order of CommandKind. */
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

/** What one daemon appends at once: one record of the log. */
struct Batch {
    std::uint32_t recordVersion = 1; ///< Version of the encoding and of the apply behaviour that it needs.
    std::string daemon; ///< Name of the proposer.
    std::uint64_t incarnation = 0; ///< Incarnation of the proposer.
    std::uint64_t sequence = 0; ///< Rises with every batch of an incarnation, from 1.
    std::vector<Command> commands; ///< Applied in order, each tested on its own.
};

/** Whether the bytes of a record made a batch. */
enum class EntryState : std::uint8_t {
    Readable,
    Malformed, ///< No batch: all daemons pass over it alike.
    NewerVersion, ///< Of a newer version: this daemon must not go past it.
    End,
};

/** A record as read back from the log. */
struct LogEntry {
    std::uint64_t offset = 0;
    LogTime appendedAt{}; ///< Stamped by the log.
    Batch batch;
    EntryState state = EntryState::Readable; ///< Unless it is readable, the batch is void.
};

/** What became of one command at its offset. */
struct CommandResult {
    Reason reason = Reason::None; ///< Why it was rejected; `None` when it was executed.
    std::uint64_t offset = 0;
    std::uint64_t version = 0; ///< New version of the configuration item, for operators' commands.
    std::uint32_t accepted = 0; ///< Placements, ends or stops that were executed.
    std::uint32_t rejected = 0; ///< Those that failed the test.
    Reason partReason = Reason::None; ///< Reason of the last rejected part.
    JobRef job; ///< The job, for SubmitJob and CancelJob.
};

} // namespace flamingotally
