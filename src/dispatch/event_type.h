/**
 * @file event_type.h Events for the log. Each names the job that it is about, if any, and the inputs of the decision.
 */
#pragma once

#include "core/enum_table.h"
#include "dispatch/job_type.h"
#include "log_type.h"

#include <string>

namespace flamingotally::dispatch
{

/** Kind of a log event. */
enum class EventKind : std::uint8_t {
    Started,
    Stopped,
    Reloaded,
    ConfigApplied,
    JobAccepted,
    CallRefused,
    CallUndecided,
    CallersLimited,
    JobCancelled,
    JobHeld,
    RunPlaced,
    RunEnded,
    RunLost,
    RunStalled,
    StartRejected,
    JobCompleted,
    JobOverdue,
    JobReported,
    JobFailed,
    OwnershipClaimed,
    OwnershipTaken,
    OwnershipLost,
    OwnerOverloaded,
    OwnerStale,
    DaemonGone,
    CommitRouteChanged,
    StoreLost,
    StoreRegained,
    WorkerLost,
    WorkerRegained,
    WorkerRestarted,
    WorkerSuspended,
    WorkerReinstated,
    StepAtFault,
    RestartDelayed,
    ReportCutOff,
    ReportComplete,
    WorkerMalformed,
    TaskSuspected,
    AdviceFailed,
    GangReserved,
    ReservationStalled,
    StrayRun,
    Load,
    UnexpectedError,
    SettingsRejected,
    JournalSourceChanged,
    TeamUseMalformed,
    End,
};

/** Name and level of a kind of event. */
struct EventKindRow {
    EventKind value;
    std::string_view name; ///< Value of `event` in the log.
    LogLevel level;
    bool isFrequent = false; ///< There is one for each run: such lines are the first to be dropped under load.
};

constexpr EnumTable<EventKind, EventKindRow> eventKindTable{{
    {EventKind::Started, "started", LogLevel::Info},
    {EventKind::Stopped, "stopped", LogLevel::Info},
    {EventKind::Reloaded, "settings_reloaded", LogLevel::Info},
    {EventKind::ConfigApplied, "config_applied", LogLevel::Info},
    {EventKind::JobAccepted, "job_accepted", LogLevel::Info},
    {EventKind::CallRefused, "call_refused", LogLevel::Warning},
    {EventKind::CallUndecided, "call_undecided", LogLevel::Warning},
    {EventKind::CallersLimited, "callers_limited", LogLevel::Warning},
    {EventKind::JobCancelled, "job_cancelled", LogLevel::Info},
    {EventKind::JobHeld, "job_held", LogLevel::Info},
    {EventKind::RunPlaced, "run_placed", LogLevel::Info},
    {EventKind::RunEnded, "run_ended", LogLevel::Info, true},
    {EventKind::RunLost, "run_lost", LogLevel::Warning},
    {EventKind::RunStalled, "run_stalled", LogLevel::Warning},
    {EventKind::StartRejected, "start_rejected", LogLevel::Warning},
    {EventKind::JobCompleted, "job_completed", LogLevel::Info},
    {EventKind::JobOverdue, "job_overdue", LogLevel::Info},
    {EventKind::JobReported, "job_reported", LogLevel::Info},
    {EventKind::JobFailed, "job_failed", LogLevel::Warning},
    {EventKind::OwnershipClaimed, "ownership_claimed", LogLevel::Info},
    {EventKind::OwnershipTaken, "ownership_taken", LogLevel::Info},
    {EventKind::OwnershipLost, "ownership_lost", LogLevel::Warning},
    {EventKind::OwnerOverloaded, "owner_overloaded", LogLevel::Warning},
    {EventKind::OwnerStale, "owner_stale", LogLevel::Warning},
    {EventKind::DaemonGone, "daemon_gone", LogLevel::Info},
    {EventKind::CommitRouteChanged, "commit_route_changed", LogLevel::Info},
    {EventKind::StoreLost, "store_lost", LogLevel::Warning},
    {EventKind::StoreRegained, "store_regained", LogLevel::Info},
    {EventKind::WorkerLost, "worker_lost", LogLevel::Warning},
    {EventKind::WorkerRegained, "worker_regained", LogLevel::Info},
    {EventKind::WorkerRestarted, "worker_reborn", LogLevel::Warning},
    {EventKind::WorkerSuspended, "worker_suspended", LogLevel::Warning},
    {EventKind::WorkerReinstated, "worker_reinstated", LogLevel::Info},
    {EventKind::StepAtFault, "step_at_fault", LogLevel::Warning},
    {EventKind::RestartDelayed, "restart_delayed", LogLevel::Warning},
    {EventKind::ReportCutOff, "worker_report_cut_off", LogLevel::Info},
    {EventKind::ReportComplete, "worker_report_complete", LogLevel::Info},
    {EventKind::WorkerMalformed, "worker_entry_malformed", LogLevel::Warning},
    {EventKind::TaskSuspected, "task_crashed_worker", LogLevel::Warning},
    {EventKind::AdviceFailed, "advice_failed", LogLevel::Warning},
    {EventKind::GangReserved, "gang_reserved", LogLevel::Info},
    {EventKind::ReservationStalled, "reservation_stalled", LogLevel::Info},
    {EventKind::StrayRun, "stray_run", LogLevel::Warning},
    {EventKind::Load, "load", LogLevel::Info},
    {EventKind::UnexpectedError, "unexpected_error", LogLevel::Error},
    {EventKind::SettingsRejected, "settings_rejected", LogLevel::Warning},
    {EventKind::JournalSourceChanged, "journal_source", LogLevel::Info},
    {EventKind::TeamUseMalformed, "team_use_malformed", LogLevel::Warning},
}};
static_assert(isComplete(eventKindTable));

/** One line for the log. */
struct Event {
    EventKind kind = EventKind::Started;
    JobId job = 0; ///< Zero when the event is about no job.
    std::string fields; ///< Inputs and outcome of the decision, as key=value pairs.
};

} // namespace flamingotally::dispatch
