/** @file reason_type.h Reasons for refusing a request, a command or a start, and reasons for retries. */
#pragma once

#include <cstdint>

namespace flamingotally
{

/** Reason for a refusal; `None` when nothing is refused. Texts and HTTP statuses: table/reason_table.h. */
enum class Reason : std::uint8_t {
    None,
    MalformedRequest,
    RequestTooLarge,
    RequestIdMissing,
    RequestIdMalformed,
    RequestIdTooOld,
    RequestIdReused,
    RequestRepeated,
    KeyMissing,
    KeyUnknown,
    KeyWithdrawn,
    KeyLacksRole,
    KeyExists,
    TeamUnknown,
    TeamDeleted,
    ProfileUnknown,
    ProfileInvalid,
    ProfileForOtherTeam,
    VersionConflict,
    DomainUnknown,
    DomainOutOfService,
    DomainAlreadyInState,
    WorkerUnknown,
    WorkerUnreachable,
    WorkerLeaving,
    WorkerSetAside,
    WorkerFull,
    WorkerBusy,
    WorkerRebooted,
    TeamLimit,
    TeamLimitTooSmall,
    QueueFull,
    ImpossibleSize,
    JobUnknown,
    JobEnded,
    TaskNotWaiting,
    TaskUnknown,
    AttemptUnknown,
    AttemptNotStoppable,
    AttemptNotLapsing,
    ProposerOutsideDomain,
    GangIncomplete,
    DaemonUnknown,
    DaemonSuperseded,
    BatchRepeated,
    ViewStale,
    Draining,
    CatchingUp,
    Overloaded,
    LogUnavailable,
    DeadlinePassed,
    OutcomeUnknown,
    ResultNotReady,
    ResultExpired,
    ResultTruncated,
    GrantInvalid,
    VersionUnsupported,
    End,
};

/** Reason for a retry. The metrics count retries by reason. */
enum class RetryReason : std::uint8_t {
    AppendAnswerLost,
    AppendFailed,
    CapacityConflict,
    LimitConflict,
    StartUnconfirmed,
    TaskFailed,
    LeaseLapsed,
    WorkerRebooted,
    Preempted,
    Drained,
    ReadFailed,
    WorkerUnreachable,
    End,
};

} // namespace flamingotally
