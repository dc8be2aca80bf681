/** @file standin_base.h Tables of the stand-in: log, host list, workers and running attempts. */
#pragma once

#include "standin_type.h"
#include "task_type.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>

namespace flamingotally::standin
{

/** Limits, delays and sizes of the simulated platform. */
struct StandinSettings {
    Milliseconds retention{3'600'000}; ///< Age at which a record is dropped.
    std::size_t maxRecords = 200'000; ///< Maximum number of retained records.
    std::uint32_t appendsPerSecond = 500; ///< Rate limit of the log.
    Milliseconds hostListLag{1'000}; ///< Age of the host list that responses contain.
    Milliseconds usageLag{2'000}; ///< Time from the start of an attempt to its first usage report.
    Milliseconds usageInterval{10'000}; ///< Interval between usage reports of one attempt.
    std::size_t inlineResultBytes = 4'096; ///< Longer results are not in the worker's report; they are fetched.
    Milliseconds closeAfter{5'000}; ///< Time after which a log that sends no responses closes the connection.
};

/** The log. Its oldest records are dropped. */
struct LogStore {
    std::deque<RawRecord> records; ///< Retained records, oldest first.
    std::uint64_t head = 0; ///< Offset of the next record.
};

struct AppendTag;

/** An append that has arrived but is not stored yet. */
struct PendingAppend {
    Handle handle = 0;
    std::string bytes;
    MonotonicTime dueAt{}; ///< Time at which the record is stored.
};

struct ReadTag;

/** A read that waits for records. */
struct PendingRead {
    Handle handle = 0;
    ReadRequest read;
    MonotonicTime notBefore{}; ///< Earliest time at which the response may be sent.
    MonotonicTime until{}; ///< Time at which the response is sent without records when none have arrived.
};

struct UnansweredTag;

/** A request that gets no response. Its connection is closed after StandinSettings::closeAfter. */
struct UnansweredRequest {
    Handle handle = 0;
    MonotonicTime until{}; ///< Time at which the connection is closed.
};

/** The host list at one point in time. */
struct HostSnapshot {
    MonotonicTime takenAt{};
    std::vector<HostRow> hosts;
};

struct HostTag;
using HostRef = Ref<HostTag>;

/** State of a worker. A reboot changes the boot id and clears the reports and the seen attempts. */
struct SimWorker {
    std::uint64_t bootId = 0;
    Resources total; ///< Capacity.
    Milliseconds clockOffset{0}; ///< Offset of the worker's own clock from the monotonic clock.
    std::uint64_t lastReport = 0; ///< Number of the newest ended attempt that was reported.
    std::vector<ReportedEnd> unackedEnds; ///< Ended attempts that no daemon has acknowledged yet.
    /** Attempts that were started or permanently refused since the boot. */
    absl::flat_hash_set<AttemptNumber> seenAttempts;
};

/** All hosts. Entry hosts only appear in the host list; workers also run attempts. */
using HostTable = Table<HostTag, HostRow, HostFaults, SimWorker>;

struct AttemptTag;
using SimAttemptRef = Ref<AttemptTag>;

/** A running attempt. */
struct SimAttempt {
    HostRef worker;
    AttemptNumber number = 0;
    Task task;
    std::size_t runIndex = 0; ///< Index of the run in the journal.
    MonotonicTime startedAt{};
    MonotonicTime endsAt{}; ///< Time at which the task finishes unless it is stopped earlier.
    MonotonicTime usageReportedAt{}; ///< Time of the last usage report.
    WorkerTime leaseUntil{}; ///< Time of the lease expiry, by the worker's own clock.
    Resources reserved; ///< Capacity of the worker that is reserved for the attempt.
};

using SimAttemptTable = Table<AttemptTag, SimAttempt>;

struct SyncTag;

/** A sync request that has not been answered yet. */
struct PendingSync {
    Handle handle = 0;
    HostRef worker;
    WorkerSync sync;
    MonotonicTime until{}; ///< Time at which the response is sent even without updates.
    std::uint64_t bootId = 0; ///< Boot id of the worker when it handled the request; zero before that.
    bool isImmediate = false; ///< The response does not wait for updates.
};

/** Key of the run time that a task had completed at its last checkpoint: request id and ordinal. */
using ProgressKey = std::pair<RequestId, std::uint32_t>;

/** Clock readings of one tick. */
struct StandinTime {
    MonotonicTime now{};
    WallTime wall{};
};

/** The simulated platform. */
struct Standin {
    StandinSettings settings;
    PlatformFaults faults;
    std::vector<Request> inbox;
    std::vector<Response> outbox;
    LogStore log;
    Table<AppendTag, PendingAppend> appends; ///< Appends that are not stored yet.
    /** Monotonic time at which the rate limit admitted the last append. */
    std::chrono::microseconds lastAppendSlot{0};
    Table<ReadTag, PendingRead> reads; ///< Reads that wait for records or for the read latency.
    Table<UnansweredTag, UnansweredRequest> unanswered;
    HostTable hosts;
    std::vector<HostRef> workers; ///< Hosts of the workers, by worker index.
    std::deque<HostSnapshot> hostSnapshots; ///< Snapshots of the host list, oldest first.
    bool hostsChanged = false; ///< The host list has changed since the last snapshot.
    SimAttemptTable attempts;
    Table<SyncTag, PendingSync> syncs;
    /** Run time that each task completed before its last checkpoint. */
    absl::flat_hash_map<ProgressKey, Milliseconds> progress;
    std::vector<Run> journal; ///< Every attempt that was started, in order.
    /** Index in the journal of the last run of each attempt. */
    absl::flat_hash_map<AttemptNumber, std::size_t> runByAttempt;
    MonotonicTime nextWake{}; ///< Time of the next tick.
};

} // namespace flamingotally::standin
