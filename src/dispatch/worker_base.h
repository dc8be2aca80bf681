/** @file worker_base.h The owner's table of workers. */
#pragma once

#include "core/time_type.h"
#include "dispatch/job_type.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <string>
#include <vector>

namespace flamingotally::dispatch
{

/** Properties and address of a worker. */
struct WorkerIdentity {
    std::string id;
    std::string address; ///< "IP:port"; empty while only the journal names the worker.
    std::string pool;
    std::string domain;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
};

/** Capacity of a worker that is used or reserved. */
struct WorkerLoad {
    Resources used; ///< Used by its runs.
    Resources reserved; ///< Reserved in the pass `reservedInPass` for groups that are placed first.
    std::uint64_t reservedInPass = 0; ///< Number of the pass; reservations of earlier passes are void.
    std::uint32_t latencyBoundRuns = 0; ///< Runs with a bound on their response times.
    std::uint32_t bestEffortRuns = 0; ///< Runs that use only idle processor time.
    std::vector<RunRef> runs;
};

/** Conditions on which a worker accepts tasks. */
struct WorkerHealth {
    bool listed = false; ///< It is in the list of workers.
    bool draining = false;
    MonotonicTime earliestRemovalAt{}; ///< While draining: it is not removed before this time.
    std::uint32_t failedInRow = 0; ///< Failed runs since the last one that was done.
    MonotonicTime avoidUntil{}; ///< It gets no tasks before this time.
};

/** The end of a run that is acknowledged once it is stored in the journal. */
struct PendingEnd {
    std::uint64_t number = 0; ///< Number of the end in the worker's report.
    std::uint64_t batch = 0; ///< Number of the owner's batch that contains it.
};

/** State of the communication with a worker. */
struct WorkerLink {
    bool synced = false; ///< It has seen this owner's token, and its report has been read since.
    bool inFlight = false; ///< A poll is in flight.
    std::uint32_t missedPolls = 0; ///< Consecutive polls without a response.
    std::uint64_t incarnation = 0; ///< Incarnation in the last response; zero before the first one.
    MonotonicTime pollAt{}; ///< Time of the next poll.
    MonotonicTime lastResponseAt{}; ///< Time of the last response to a poll.
    MonotonicTime clockReadAt{}; ///< When `clock` was received; zero before.
    WorkerTime clock{}; ///< Clock of the worker in its last response.
    WorkerTime leaseUntil{}; ///< Latest lease expiry in any order, answered or not.
    MonotonicTime leaseExpiresAt{}; ///< All its runs have ended by this time unless the lease is renewed.
    std::uint64_t lastEndApplied = 0; ///< Ends up to this number have been applied.
    std::uint64_t lastEndStored = 0; ///< Ends up to this number are stored in the journal.
    std::uint64_t lastEndAcknowledged = 0; ///< Ends up to this number were acknowledged by the last poll.
    std::deque<PendingEnd> pendingEnds;
};

using WorkerTable = Table<WorkerTag, WorkerIdentity, WorkerLoad, WorkerHealth, WorkerLink>;

/** The table of workers with its index by id. */
struct Workers {
    WorkerTable table;
    absl::flat_hash_map<std::string, WorkerRef> byId;
};

} // namespace flamingotally::dispatch
