/** @file fault_type.h Faults of runs. Each may be the fault of the run's worker or that of its step. */
#pragma once

#include "core/enum_table.h"
#include "core/time_type.h"
#include "dispatch/job_type.h"

namespace flamingotally::dispatch
{

/** Kind of a fault of a run. */
enum class FaultKind : std::uint8_t {
    Failed, ///< The run failed, or a run of an endless step ended soon after its start.
    Stalled, ///< The run made no progress for too long.
    End,
};

/** Name of a kind of fault, and when and for how long it suspends a worker: the worker gets no tasks. */
struct FaultKindRow {
    FaultKind value;
    std::string_view name;
    std::size_t neededToSuspend; ///< Number of faults for which the worker is suspended.
    Milliseconds suspension; ///< Counted from the last fault.
};

constexpr EnumTable<FaultKind, FaultKindRow> faultKindTable{{
    {FaultKind::Failed, "failed", 3, Milliseconds{6'000}},
    {FaultKind::Stalled, "stalled", 1, Milliseconds{3'000}},
}};
static_assert(isComplete(faultKindTable));

/** A worker on which a run of a group had a fault. */
struct FaultyWorker {
    WorkerRef worker;
    FaultKind kind = FaultKind::Failed; ///< Kind of the last fault there.
    MonotonicTime at{}; ///< Time of the last fault there.
};

/** A fault of a run for which its worker may be to blame. */
struct WorkerFault {
    GroupRef group; ///< The run's group; it may have ended since.
    FaultKind kind = FaultKind::Failed;
    MonotonicTime at{};
};

} // namespace flamingotally::dispatch
