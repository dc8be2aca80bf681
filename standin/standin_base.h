/** @file standin_base.h Tables of the stand-in: the log, the host list, the workers and what runs on them. */
#pragma once

#include "standin_type.h"
#include "task_type.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>

namespace flamingotally::standin
{

/** Bounds and shape of the simulated platform. */
struct StandinSettings {
    Milliseconds retention{3'600'000}; ///< Age at which a record is dropped.
    std::size_t maxRecords = 200'000; ///< Records kept at most.
    std::uint32_t appendsPerSecond = 500;
    Milliseconds hostListLag{1'000}; ///< Age of the list that is handed out.
    Milliseconds usageLag{2'000}; ///< Age of a run at its first report of usage.
    Milliseconds usageInterval{10'000}; ///< Between reports of one run's usage.
    std::size_t inlineResultBytes = 4'096; ///< Longer results are fetched on their own.
    Milliseconds hangUpAfter{5'000}; ///< A silent log hangs up after this time.
};

/** The log. */
struct LogStore {
    std::deque<RawRecord> records;
    std::uint64_t head = 0;
};

struct AppendTag;

/** An append on its way to being stored. */
struct PendingAppend {
    Handle handle = 0;
    std::string bytes;
    MonotonicTime dueAt{};
};

struct ReadTag;

/** A read that waits for records. */
struct PendingRead {
    Handle handle = 0;
    ReadRequest read;
    MonotonicTime notBefore{};
    MonotonicTime until{};
};

struct UnansweredTag;

/** A request that gets no answer. */
struct UnansweredRequest {
    Handle handle = 0;
    MonotonicTime until{};
};

/** The host list as it was at some time. */
struct HostSnapshot {
    MonotonicTime takenAt{};
    std::vector<HostRow> hosts;
};

struct HostTag;
using HostRef = Ref<HostTag>;

/** What a worker has and knows of its boot. */
struct WorkerBoot {
    std::uint64_t bootId = 0;
    Resources total;
    Milliseconds clockOffset{0}; ///< Of its own clock.
    std::uint64_t lastReport = 0;
    std::vector<ReportedEnd> ends; ///< Not acknowledged yet.
    absl::flat_hash_set<AttemptNumber> seenAttempts; ///< Attempts that were taken or refused for good.
};

/** Hosts: entry hosts are only listed, workers also run tasks. */
using HostTable = Table<HostTag, HostRow, HostFaults, WorkerBoot>;

struct AttemptTag;
using SimAttemptRef = Ref<AttemptTag>;

/** An attempt that runs. */
struct SimAttempt {
    HostRef worker;
    AttemptNumber number = 0;
    Task task;
    std::size_t run = 0; ///< Place in the journal.
    MonotonicTime startedAt{};
    MonotonicTime endsAt{};
    MonotonicTime usageReportedAt{};
    WorkerTime leaseUntil{};
    Resources held;
};

using SimAttemptTable = Table<AttemptTag, SimAttempt>;

struct PollTag;

/** An exchange that has not been answered. */
struct WorkerPoll {
    Handle handle = 0;
    HostRef worker;
    WorkerSync sync;
    MonotonicTime until{};
    std::uint64_t bootId = 0; ///< Boot that took its orders; zero before.
    bool answerNow = false;
};

/** What was done of a task before it was checkpointed. */
using ProgressKey = std::pair<RequestId, std::uint32_t>;

/** What systems read of the clocks. */
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
    std::chrono::microseconds lastAppendSlot{
        0}; ///< When the rate limit allowed the last append, by the monotonic clock.
    Table<ReadTag, PendingRead> reads;
    Table<UnansweredTag, UnansweredRequest> unanswered;
    HostTable hosts;
    std::vector<HostRef> workers; ///< By place.
    std::deque<HostSnapshot> hostSnapshots; ///< Oldest first.
    bool hostsChanged = false; ///< Since the last snapshot.
    SimAttemptTable attempts;
    Table<PollTag, WorkerPoll> polls;
    absl::flat_hash_map<ProgressKey, Milliseconds> progress;
    std::vector<Run> journal;
    absl::flat_hash_map<AttemptNumber, std::size_t> runByAttempt; ///< Place of the last run in the journal.
    MonotonicTime nextWake{};
};

} // namespace flamingotally::standin
