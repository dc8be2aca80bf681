/** @file dispatch_table.h Names of the enumerators of dispatched work, for messages, logs and metrics. */
#pragma once

#include "core/enum_table.h"
#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

constexpr EnumTable<JobPhase> jobPhaseTable{{
    {JobPhase::Queued, "queued"},
    {JobPhase::Running, "running"},
    {JobPhase::Completed, "completed"},
    {JobPhase::Failed, "failed"},
    {JobPhase::Cancelled, "cancelled"},
}};
static_assert(isComplete(jobPhaseTable));

constexpr EnumTable<RunEnd> runEndTable{{
    {RunEnd::Done, "done"},
    {RunEnd::Failed, "failed"},
    {RunEnd::Stopped, "stopped"},
    {RunEnd::LeaseExpired, "lapsed"},
    {RunEnd::GangBroken, "broken"},
    {RunEnd::GangIncomplete, "alone"},
}};
static_assert(isComplete(runEndTable));

constexpr EnumTable<RunPhase> runPhaseTable{{
    {RunPhase::Planned, "planned"},
    {RunPhase::Ordered, "ordered"},
    {RunPhase::Running, "running"},
    {RunPhase::Stopping, "stopping"},
    {RunPhase::Unverified, "unverified"},
}};
static_assert(isComplete(runPhaseTable));

constexpr EnumTable<OrderResult> orderResultTable{{
    {OrderResult::Accepted, "accepted"},
    {OrderResult::Fenced, "fenced"},
    {OrderResult::Superseded, "superseded"},
    {OrderResult::Late, "late"},
    {OrderResult::NoCapacity, "no_room"},
    {OrderResult::NoTicket, "no_ticket"},
    {OrderResult::Malformed, "malformed"},
    {OrderResult::Unhealthy, "unhealthy"},
    {OrderResult::WorkerReplaced, "gone"},
    {OrderResult::NeverSent, "never_sent"},
    {OrderResult::ConnectionClosed, "connection_closed"},
    {OrderResult::NoResponse, "no_answer"},
}};
static_assert(isComplete(orderResultTable));

constexpr EnumTable<RefusalReason> refusalReasonTable{{
    {RefusalReason::StaleView, "stale_view"},
    {RefusalReason::Store, "store"},
    {RefusalReason::Load, "load"},
    {RefusalReason::Memory, "memory"},
}};
static_assert(isComplete(refusalReasonTable));

constexpr EnumTable<LatencyKind> latencyKindTable{{
    {LatencyKind::Accept, "accept"},
    {LatencyKind::QueueWait, "queue_wait"},
    {LatencyKind::Append, "append"},
    {LatencyKind::Read, "read"},
    {LatencyKind::Start, "start"},
    {LatencyKind::Poll, "hold"},
    {LatencyKind::Tick, "tick"},
}};
static_assert(isComplete(latencyKindTable));

constexpr EnumTable<TrafficKind> trafficKindTable{{
    {TrafficKind::Poll, "poll"},
    {TrafficKind::Order, "order"},
    {TrafficKind::JournalRead, "journal_read"},
    {TrafficKind::JournalWrite, "journal_write"},
    {TrafficKind::Advice, "advice"},
}};
static_assert(isComplete(trafficKindTable));

constexpr EnumTable<JournalSource> journalSourceTable{{
    {JournalSource::Store, "store"},
    {JournalSource::Reader, "reader"},
}};
static_assert(isComplete(journalSourceTable));

constexpr EnumTable<SourceCause> sourceCauseTable{{
    {SourceCause::OneRegion, "one_region"},
    {SourceCause::Deciding, "deciding"},
    {SourceCause::Near, "near"},
    {SourceCause::ReaderAvoided, "reader_avoided"},
    {SourceCause::OwnerSilent, "owner_silent"},
    {SourceCause::LoadOverdue, "load_overdue"},
    {SourceCause::IsReader, "is_reader"},
    {SourceCause::NoReader, "no_reader"},
    {SourceCause::Far, "far"},
}};
static_assert(isComplete(sourceCauseTable));

constexpr EnumTable<ShareResult> shareResultTable{{
    {ShareResult::Records, "records"},
    {ShareResult::Snapshot, "snapshot"},
    {ShareResult::NotHeld, "not_held"},
    {ShareResult::NotLoaded, "not_loaded"},
    {ShareResult::Behind, "behind"},
    {ShareResult::Superseded, "superseded"},
    {ShareResult::TooLarge, "too_large"},
    {ShareResult::NoResponse, "no_response"},
}};
static_assert(isComplete(shareResultTable));

} // namespace flamingotally::dispatch
