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
    Milliseconds hostListLag{1'000}; ///< Age of the host list in responses.
    Milliseconds usageLag{2'000}; ///< Age of an attempt at its first usage report.
    Milliseconds usageInterval{10'000}; ///< Interval between usage reports of one attempt.
    std::size_t inlineResultBytes = 4'096; ///< Longer results are not part of the report; they are fetched separately.
    Milliseconds hangUpAfter{5'000}; ///< Time after which an unresponsive log closes the connection.
};

/** The retained end of the log. */
struct LogStore {
    std::deque<RawRecord> records;
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
    MonotonicTime notBefore{}; ///< Earliest time of the response.
    MonotonicTime until{}; ///< Time of the response when no records arrive.
};

struct UnansweredTag;

/** A request that gets no response; its connection is closed later. */
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

/** State of a worker that belongs to its current boot. */
struct WorkerBoot {
    std::uint64_t bootId = 0;
    Resources total; ///< Capacity.
    Milliseconds clockOffset{0}; ///< Of the worker's own clock, relative to the monotonic clock.
    std::uint64_t lastReport = 0; ///< Number of the newest reported end.
    std::vector<ReportedEnd> ends; ///< Reported ends that were not acknowledged yet.
    absl::flat_hash_set<AttemptNumber> seenAttempts; ///< Attempts that were accepted or permanently refused.
};

/** All hosts: entry hosts are only listed, workers also run tasks. */
using HostTable = Table<HostTag, HostRow, HostFaults, WorkerBoot>;

struct AttemptTag;
using SimAttemptRef = Ref<AttemptTag>;

/** A running attempt. */
struct SimAttempt {
    HostRef worker;
    AttemptNumber number = 0;
    Task task;
    std::size_t run = 0; ///< Index in the journal.
    MonotonicTime startedAt{};
    MonotonicTime endsAt{}; ///< Planned end of a task that is not stopped earlier.
    MonotonicTime usageReportedAt{}; ///< Time of the last usage report.
    WorkerTime leaseUntil{}; ///< Lease expiry by the worker's own clock.
    Resources reserved; ///< Reserved capacity.
};

using SimAttemptTable = Table<AttemptTag, SimAttempt>;

struct SyncTag;

/** A sync request that has not been answered yet. */
struct PendingSync {
    Handle handle = 0;
    HostRef worker;
    WorkerSync sync;
    MonotonicTime until{}; ///< Latest time of the response.
    std::uint64_t bootId = 0; ///< Boot that handled the orders; zero until then.
    bool answerNow = false; ///< The response does not wait for updates.
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
    Table<AppendTag, PendingAppend> appends;
    /** Monotonic time at which the rate limit admitted the last append. */
    std::chrono::microseconds lastAppendSlot{0};
    Table<ReadTag, PendingRead> reads;
    Table<UnansweredTag, UnansweredRequest> unanswered;
    HostTable hosts;
    std::vector<HostRef> workers; ///< By worker index.
    std::deque<HostSnapshot> hostSnapshots; ///< Oldest first.
    bool hostsChanged = false; ///< Hosts changed since the last snapshot.
    SimAttemptTable attempts;
    Table<SyncTag, PendingSync> syncs;
    absl::flat_hash_map<ProgressKey, Milliseconds> progress; ///< Run time completed before the last checkpoint.
    std::vector<Run> journal; ///< Every attempt that was started, in order.
    absl::flat_hash_map<AttemptNumber, std::size_t> runByAttempt; ///< Journal index of the attempt's last run.
    MonotonicTime nextWake{}; ///< Time of the next tick.
};

} // namespace flamingotally::standin
