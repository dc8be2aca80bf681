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

/** What a worker is and where it is reached. */
struct WorkerIdentity {
    std::string id;
    std::string address; ///< "IP:port"; empty when only the journal names it.
    std::string pool;
    std::string domain;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
};

/** What its runs take. */
struct WorkerLoad {
    Resources used;
    Resources kept; ///< Kept free in the pass below for groups that go first.
    std::uint64_t reservedInPass = 0;
    std::uint32_t serving = 0; ///< Runs with a bound on their response times.
    std::uint32_t filling = 0; ///< Runs that take what others leave.
    std::vector<RunRef> runs;
};

/** Whether it takes tasks, and how its runs fared. */
struct WorkerHealth {
    bool listed = false;
    bool draining = false;
    MonotonicTime leavesAt{}; ///< While draining: it stays until then at least.
    std::uint32_t failedInRow = 0; ///< Runs that failed since one ended well.
    MonotonicTime avoidUntil{}; ///< Takes nothing before this.
};

/** An end that is to be acknowledged once the journal has it. */
struct PendingEnd {
    std::uint64_t number = 0;
    std::uint64_t batch = 0; ///< Batch of the owner's writer that holds it.
};

/** The exchange with a worker. */
struct WorkerLink {
    bool known = false; ///< It has seen this owner's token, and its lists were read since.
    bool inFlight = false; ///< A hold is under way.
    std::uint32_t silent = 0; ///< Holds in a row that went without an answer.
    std::uint64_t incarnation = 0;
    MonotonicTime holdAt{}; ///< Next hold.
    MonotonicTime heardAt{}; ///< Last answer to a hold.
    MonotonicTime clockReadAt{}; ///< When the clock below was received; zero for never.
    WorkerTime clock{};
    WorkerTime leaseUntil{}; ///< Latest lease that any order named, answered or not.
    MonotonicTime leaseOverAt{}; ///< All its runs have ended by then, unless the lease is renewed.
    std::uint64_t endsSeen = 0;
    std::uint64_t endsStored = 0; ///< Ends up to this number are in the journal.
    std::uint64_t endsAcknowledged = 0; ///< The last hold acknowledged ends up to this number.
    std::deque<PendingEnd> pendingEnds;
};

using WorkerTable = Table<WorkerTag, WorkerIdentity, WorkerLoad, WorkerHealth, WorkerLink>;

/** Workers and the way to find them by id. */
struct Workers {
    WorkerTable table;
    absl::flat_hash_map<std::string, WorkerRef> byId;
};

} // namespace flamingotally::dispatch
