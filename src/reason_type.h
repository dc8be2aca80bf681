/** @file reason_type.h Why a request, a command or a start was refused, and why something is tried again. */
#pragma once

#include <cstdint>

namespace flamingotally
{

/** Why something was refused. `None` means that it was not. Texts and HTTP statuses: table/reason_table.h. */
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
    DomainAlreadyThere,
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
    LeaseKept,
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

/** Why something is tried again. */
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
