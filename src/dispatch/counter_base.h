/** @file counter_base.h What an entry daemon counts and measures of itself, for metrics and the log. */
#pragma once

#include "core/enum_table.h"
#include "dispatch/admission_base.h"
#include "dispatch/commit_type.h"
#include "dispatch/journal_type.h"
#include "dispatch/message_type.h"
#include "http_limit_type.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace flamingotally::dispatch
{

/** Operations whose durations are counted. */
enum class LatencyKind : std::uint8_t {
    Accept, ///< From a caller's request until its record is stored in the journal.
    QueueWait, ///< From the opening of a group until tasks of it are placed.
    Append, ///< From the last send of a batch until it is stored.
    Read, ///< Read of the journal, including the time for which the store waited for a record.
    Start, ///< Start order that a worker accepted.
    Poll, ///< Poll that a worker answered, including the time that the worker waited.
    Tick, ///< One tick.
    End,
};

/** Upper bounds of the buckets of the latency histograms. */
constexpr std::array latencyBounds{Milliseconds{5},
                                   Milliseconds{10},
                                   Milliseconds{20},
                                   Milliseconds{50},
                                   Milliseconds{100},
                                   Milliseconds{200},
                                   Milliseconds{500},
                                   Milliseconds{1'000},
                                   Milliseconds{2'000},
                                   Milliseconds{5'000}};

/** Histogram of the durations of one operation. */
struct Latency {
    std::array<std::uint64_t, latencyBounds.size() + 1> counts{}; ///< By bound; the last one counts longer durations.
    Milliseconds sum{0};
};

/** Kind of the messages between this daemon and others. */
enum class TrafficKind : std::uint8_t {
    Poll, ///< Polls of workers.
    Order, ///< Orders to start and stop runs.
    JournalRead, ///< Reads of the journal and of the other topics of the store.
    JournalWrite, ///< Batches for the journal.
    Advice, ///< Requests to the policy service and to the daemons that relay them.
    End,
};

/** What the calls of one kind have sent and received. */
struct Traffic {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0; ///< Calls without a response.
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

/** Traffic of this daemon since its start, by TrafficKind. Network code fills it. */
using TrafficByKind = std::array<Traffic, enumSize<TrafficKind>>;

/** Open connections of this daemon, in use and idle, and what it holds for them. Network code fills it. */
struct ConnectionCounts {
    std::size_t toWorkers = 0;
    std::size_t toOthers = 0; ///< To the store, the policy service and other daemons.
    std::size_t waitingCalls = 0; ///< Calls that wait until a connection becomes free.
    std::size_t ofCallers = 0; ///< That callers have opened.
    std::size_t heldBytes = 0; ///< Held for requests that are not answered and responses that are not sent.
};

/** Counters for /metrics, since the start of the process. */
struct EntryCounters {
    std::uint64_t ticks = 0;
    std::uint64_t accepted = 0; ///< Jobs accepted.
    std::uint64_t starts = 0; ///< Start orders that workers accepted.
    std::uint64_t notRunCalls = 0; ///< Calls answered as not run.
    std::array<std::uint64_t, enumSize<RefusalReason>> refusals{}; ///< The same, by reason.
    std::uint64_t undecided = 0; ///< Calls whose outcome was not known in time.
    std::uint64_t claims = 0; ///< Claims of ownership that were queued.
    std::uint64_t resignations = 0; ///< Times that this daemon lost or released ownership.
    std::uint64_t lostRuns = 0; ///< Runs that ended without a report of their end; RunLost events name the causes.
    std::array<std::uint64_t, enumSize<OrderResult>> rejectedStarts{}; ///< Start orders that were rejected, by result.
    std::array<Latency, enumSize<LatencyKind>> latencies{}; ///< By LatencyKind.
    std::uint64_t unansweredOrders = 0; ///< Start orders that got no response.
    std::uint64_t batches = 0; ///< Batches sent to the journal, including repeated sends.
    std::uint64_t relayedBatches = 0; ///< Batches sent to the owner instead, including repeated sends.
    std::uint64_t commitRouteChanges = 0; ///< Times that the way of the daemon's batches to the store changed.
    std::array<std::uint64_t, enumSize<CommitOutcome>> commitAnswers{}; ///< As owner: answered calls, by outcome.
    std::uint64_t adviceRequests = 0; ///< Requests sent to the policy service.
    std::uint64_t workersEvaluated = 0; ///< Workers evaluated for a group in placement passes.
    /** Workers looked at for a group for any reason: for placements, reservations and requests to the policy service.
     */
    std::uint64_t workersExamined = 0;
    std::uint64_t suspensions = 0; ///< Times that a worker was suspended because of faults of its runs.
    std::uint64_t suspensionsOverLimit = 0; ///< Times that a worker was not suspended, as enough of its pool were.
    std::uint64_t faultySteps = 0; ///< Times that a step was taken for the cause of its runs' faults.
    std::uint64_t gangsReserved = 0; ///< Gangs that had capacity reserved for all their tasks while they waited.
    std::uint64_t delayedRestarts = 0; ///< Endless tasks that had to wait before their next run.
    std::uint64_t compactedJobs = 0; ///< Compact records of ended jobs that were queued.
    std::uint64_t droppedLines = 0; ///< Log lines that were dropped because the buffer was full.
    TrafficByKind traffic{};
    std::array<std::uint64_t, enumSize<JournalSource>> journalReads{}; ///< Successful reads, by source.
    std::array<std::uint64_t, enumSize<JournalSource>> journalLoads{}; ///< Loads of all records, by source.
    std::uint64_t sourceChanges = 0; ///< Times that the source of the journal changed.
    std::uint64_t sharedReads = 0; ///< Responses with records or a snapshot to daemons that read from this one.
    HttpLimitCounts httpLimits{}; ///< Connections closed and requests refused by the servers. Network code fills it.

    /** Counts one operation of the given duration. */
    void observe(LatencyKind kind, Milliseconds duration)
    {
        auto &latency = latencies[static_cast<std::size_t>(kind)];
        const auto it = std::ranges::lower_bound(latencyBounds, duration);
        ++latency.counts[static_cast<std::size_t>(it - latencyBounds.begin())];
        latency.sum += duration;
    }
    std::array<std::uint64_t, enumSize<RunEnd>> ends{}; ///< Runs that have ended, by how they ended.
};

} // namespace flamingotally::dispatch
