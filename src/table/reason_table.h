/**
 * @file reason_table.h Names, texts and HTTP statuses of the reasons for refusals, and names of the reasons for
 * retries.
 */
#pragma once

#include "core/enum_table.h"
#include "reason_type.h"

namespace flamingotally
{

/** Properties of a reason for a refusal. */
struct ReasonRow {
    Reason value; ///< The reason.
    std::string_view name; ///< Name in JSON, logs and metric labels.
    std::uint16_t httpStatus; ///< HTTP status of a response with this reason.
    bool retryable; ///< Whether a caller may repeat the same request because it may succeed later.
    std::string_view text; ///< One-sentence description, for people.
};

constexpr EnumTable<Reason, ReasonRow> reasonTable{{
    {Reason::None, "none", 200, false, "Not refused."},
    {Reason::MalformedRequest, "malformed_request", 400, false, "The request could not be parsed."},
    {Reason::RequestTooLarge,
     "request_too_large",
     413,
     false,
     "The request is larger than the settings or the limits of a job allow."},
    {Reason::RequestIdMissing, "request_id_missing", 400, false, "This profile needs an Idempotency-Key header."},
    {Reason::RequestIdMalformed,
     "request_id_malformed",
     400,
     false,
     "The Idempotency-Key is not a UUID of version 7, or its time is in the future."},
    {Reason::RequestIdTooOld,
     "request_id_too_old",
     409,
     false,
     "The Idempotency-Key was issued before the request window."},
    {Reason::RequestIdReused, "request_id_reused", 422, false, "The Idempotency-Key was used with another body."},
    {Reason::RequestRepeated, "request_repeated", 200, false, "The request was accepted before; this is its job."},
    {Reason::KeyMissing, "key_missing", 401, false, "The request has no key."},
    {Reason::KeyUnknown, "key_unknown", 401, false, "The key was never granted."},
    {Reason::KeyWithdrawn, "key_withdrawn", 401, false, "The key was withdrawn."},
    {Reason::KeyLacksRole, "key_lacks_role", 403, false, "The key does not have the role that the request needs."},
    {Reason::KeyExists, "key_exists", 409, false, "A key with this label or digest exists already."},
    {Reason::TeamUnknown, "team_unknown", 404, false, "No such team."},
    {Reason::TeamDeleted, "team_deleted", 410, false, "The team was deleted."},
    {Reason::ProfileUnknown, "profile_unknown", 404, false, "No such profile."},
    {Reason::ProfileInvalid, "profile_invalid", 422, false, "The profile has a value that is not allowed."},
    {Reason::ProfileForOtherTeam, "profile_for_other_team", 403, false, "The profile belongs to another team."},
    {Reason::VersionConflict,
     "version_conflict",
     409,
     false,
     "The team, key, profile or domain was changed after the version that the request names."},
    {Reason::DomainUnknown, "domain_unknown", 404, false, "No such failure domain."},
    {Reason::DomainOutOfService, "domain_out_of_service", 409, true, "The failure domain is out of service."},
    {Reason::DomainAlreadyInState,
     "domain_already_there",
     409,
     false,
     "The failure domain is already in the requested state."},
    {Reason::WorkerUnknown, "worker_unknown", 404, false, "No such worker."},
    {Reason::WorkerUnreachable, "worker_unreachable", 503, true, "The worker did not respond."},
    {Reason::WorkerLeaving, "worker_leaving", 409, true, "The worker is leaving."},
    {Reason::WorkerSetAside,
     "worker_set_aside",
     409,
     true,
     "The worker is set aside because too many attempts on it failed."},
    {Reason::WorkerFull, "worker_full", 409, true, "The worker has too little free capacity."},
    {Reason::WorkerBusy, "worker_busy", 409, true, "The worker still has live attempts."},
    {Reason::WorkerRebooted, "worker_rebooted", 409, true, "The worker has been restarted."},
    {Reason::TeamLimit, "team_limit", 409, true, "The team is at its limit."},
    {Reason::TeamLimitTooSmall, "team_limit_too_small", 422, false, "The job needs more than the team's total limit."},
    {Reason::QueueFull, "queue_full", 429, true, "The queue of the team is full."},
    {Reason::ImpossibleSize, "impossible_size", 422, false, "No worker is large enough for a task of this size."},
    {Reason::JobUnknown, "job_unknown", 404, false, "No such job."},
    {Reason::JobEnded, "job_ended", 409, false, "The job has ended."},
    {Reason::TaskNotWaiting, "task_not_waiting", 409, false, "The task has a live attempt or has ended."},
    {Reason::TaskUnknown, "task_unknown", 404, false, "No such task."},
    {Reason::AttemptUnknown, "attempt_unknown", 404, false, "No such attempt."},
    {Reason::AttemptNotStoppable, "attempt_not_stoppable", 409, false, "The profile does not allow this stop."},
    {Reason::AttemptNotLapsing, "attempt_not_lapsing", 409, false, "The attempt has not been marked as lapsing."},
    {Reason::ProposerOutsideDomain,
     "lease_kept",
     409,
     true,
     "The profile lets only the worker's own failure domain end the lease."},
    {Reason::GangIncomplete, "gang_incomplete", 409, true, "Not all members of the gang were placed."},
    {Reason::DaemonUnknown, "daemon_unknown", 404, false, "No such daemon."},
    {Reason::DaemonSuperseded, "daemon_superseded", 409, false, "A newer incarnation of the daemon has joined."},
    {Reason::BatchRepeated, "batch_repeated", 409, false, "The batch was applied before."},
    {Reason::ViewStale,
     "view_stale",
     503,
     true,
     "This daemon's view of the log is too old to show the newest configuration."},
    {Reason::Draining, "draining", 503, true, "This daemon is shutting down."},
    {Reason::CatchingUp, "catching_up", 503, true, "This daemon is still reading the log."},
    {Reason::Overloaded, "overloaded", 503, true, "This daemon has too many requests in progress."},
    {Reason::LogUnavailable, "log_unavailable", 503, true, "The platform's log does not accept records."},
    {Reason::DeadlinePassed,
     "deadline_passed",
     504,
     false,
     "The work did not start before its deadline and was not run."},
    {Reason::OutcomeUnknown,
     "outcome_unknown",
     504,
     true,
     "The outcome is not known yet: repeat the request with the same id."},
    {Reason::ResultNotReady, "result_not_ready", 409, true, "The task has not ended yet."},
    {Reason::ResultExpired, "result_expired", 410, false, "The result is no longer retained."},
    {Reason::ResultTruncated, "result_truncated", 502, false, "The worker's response with the result was truncated."},
    {Reason::GrantInvalid, "grant_invalid", 409, true, "The standing grant does not allow this start."},
    {Reason::VersionUnsupported,
     "version_unsupported",
     501,
     false,
     "This daemon does not support the record's version."},
}};
static_assert(isComplete(reasonTable));

constexpr EnumTable<RetryReason> retryReasonTable{{
    {RetryReason::AppendAnswerLost, "append_answer_lost"},
    {RetryReason::AppendFailed, "append_failed"},
    {RetryReason::CapacityConflict, "capacity_conflict"},
    {RetryReason::LimitConflict, "limit_conflict"},
    {RetryReason::StartUnconfirmed, "start_unconfirmed"},
    {RetryReason::TaskFailed, "task_failed"},
    {RetryReason::LeaseLapsed, "lease_lapsed"},
    {RetryReason::WorkerRebooted, "worker_rebooted"},
    {RetryReason::Preempted, "preempted"},
    {RetryReason::Drained, "drained"},
    {RetryReason::ReadFailed, "read_failed"},
    {RetryReason::WorkerUnreachable, "worker_unreachable"},
}};
static_assert(isComplete(retryReasonTable));

} // namespace flamingotally
