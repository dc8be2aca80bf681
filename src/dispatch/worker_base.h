/** @file worker_base.h The owner's table of workers. */
#pragma once

#include "core/time_type.h"
#include "dispatch/crash_type.h"
#include "dispatch/fault_type.h"
#include "dispatch/job_type.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <array>
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
    std::uint32_t region = 0; ///< Index into Workers::regions; 0 while the region is not known.
    std::vector<std::string> labels;
    Resources capacity;
};

/** Capacity of a worker that is reserved for a large task until the runs there have ended. */
struct LargeReservation {
    Resources amount; ///< Valid in the pass WorkerLoad::reservedInPass, like the next two members.
    bool isFirm = false; ///< The capacity is kept from other tasks also while the pool has a lot of it.
    bool isStalled = false; ///< No capacity has become free on the worker for long.
    MonotonicTime reservedAt{}; ///< When the worker was last reserved; zero before.
    MonotonicTime progressAt{}; ///< When the reservation began, or when less was used than ever since.
    Resources leastUsed; ///< Smallest amounts used on the worker since the reservation began.
    bool stallLogged = false; ///< It was logged that no capacity has become free since `progressAt`.
};

/** Capacity of a worker that is used or reserved. */
struct WorkerLoad {
    Resources used; ///< Used by its runs.
    Resources usedByEndless; ///< The part of `used` that runs of endless steps use; it does not become free by itself.
    Resources reserved; ///< Reserved in the pass `reservedInPass` for groups that are placed first.
    Resources reservedForGangs; ///< Reserved in the same pass for planned gangs.
    LargeReservation large;
    MonotonicTime gangsReadyAt{}; ///< No gang uses `reservedForGangs` before this time; zero if that is not known.
    std::uint64_t reservedInPass = 0; ///< Number of the pass; reservations of earlier passes are void.
    std::uint32_t latencyBoundRuns = 0; ///< Runs with a bound on their response times.
    std::uint32_t bestEffortRuns = 0; ///< Runs that use only idle processor time.
    MonotonicTime placedAt{}; ///< When a run was last placed on the worker.
    std::vector<RunRef> runs;
};

/** Conditions on which a worker accepts tasks. */
struct WorkerHealth {
    bool listed = false; ///< The worker is in the list of workers.
    bool draining = false; ///< The worker will be removed and gets no more tasks.
    MonotonicTime earliestRemovalAt{}; ///< While draining: the worker is not removed before this time.
    std::vector<WorkerFault> faults; ///< Faults for which it may be to blame, since its last healthy run, oldest first.
    MonotonicTime suspendedUntil{}; ///< The worker gets no tasks before this time, because of `faults`.
    FaultKind suspendedFor = FaultKind::Failed; ///< Kind of the faults because of which it was last suspended.
    MonotonicTime avoidUntil{}; ///< The worker gets no tasks before this time, as it has refused a start.
    std::uint64_t acceptsInPass = 0; ///< Number of the last placement pass in which the worker accepted tasks.
    /** The worker gets no tasks before this time, so that a crash shows whether the task placed last was the cause. */
    MonotonicTime exclusiveUntil{};

    /** Returns true if the worker gets no tasks at a time because of faults of runs or refused starts. */
    bool isKeptFromTasks(MonotonicTime at) const
    {
        return at < std::max(suspendedUntil, avoidUntil);
    }
};

/** A reported run end that is acknowledged to its worker once it is stored in the journal. */
struct PendingEnd {
    std::uint64_t number = 0; ///< Sequence number of the run end in the worker's report.
    std::uint64_t batch = 0; ///< Number of the owner's batch that stores the run end; zero until that is decided.
};

/** State of the communication with a worker. */
struct WorkerLink {
    bool hasResponded = false; ///< The worker has responded to a poll of this owner, so it has seen the owner's token.
    bool inFlight = false; ///< A poll is in flight.
    bool hasStrayRuns = false; ///< The last report listed runs that are not in this owner's tables.
    MonotonicTime cutOffSince{}; ///< Since when reports did not list all ends; zero if the last one did.
    std::uint32_t missedPolls = 0; ///< Consecutive polls without a response.
    std::uint64_t incarnation = 0; ///< Incarnation in the last response; zero before the first one.
    /** Connection of the last response; zero if the next poll may reach another incarnation than that response. */
    std::uint64_t connection = 0;
    MonotonicTime pollAt{}; ///< Time of the next poll.
    MonotonicTime lastResponseAt{}; ///< When the last response to a poll was applied.
    MonotonicTime clockReadAt{}; ///< When `clock` was received; zero before.
    WorkerTime clock{}; ///< Reading of the worker's clock in its last response.
    WorkerTime latestLeaseUntil{}; ///< Latest lease expiry sent in any order, answered or not; by the worker's clock.
    /** By this daemon's clock: all runs of the worker have ended by this time unless the lease is renewed. */
    MonotonicTime leaseExpiresAt{};
    std::uint64_t lastEndApplied = 0; ///< Run ends up to this sequence number have been applied.
    std::uint64_t lastEndStored = 0; ///< Run ends up to this sequence number are stored in the journal.
    std::uint64_t lastEndAcknowledged = 0; ///< Run ends up to this sequence number were acknowledged by the last poll.
    /** Most suspected runs of the worker when its lease expired in silence; empty once it has responded. */
    std::vector<SuspectRun> lostSuspects;
    MonotonicTime lostAt{}; ///< When `lostSuspects` was noted.
    std::deque<PendingEnd> pendingEnds; ///< Run ends that are applied but not stored yet, by sequence number.
};

using WorkerTable = Table<WorkerTag, WorkerIdentity, WorkerLoad, WorkerHealth, WorkerLink>;

/** State of the pacing of orders to workers; policy/order_pacing.h decides by it. */
struct OrderPacing {
    static constexpr std::size_t memory = 16; ///< Number of response times that are remembered.

    std::array<Milliseconds, memory> responseTimes{}; ///< The latest ones; the oldest is overwritten.
    std::size_t count = 0; ///< Number of response times recorded so far.
    std::uint32_t window = 64; ///< Orders that may be in flight.
    MonotonicTime reducedAt{}; ///< When the window was last reduced.
    MonotonicTime congestedAt{}; ///< When the link was last found to be congested; zero before.
    std::size_t ordersWaiting = 0; ///< Number of orders that were due at the last tick and exceeded the window.
    bool isLinkShared = false; ///< The link leads to another region, so its delay need not come from these orders.
};

/** How many workers were silent at the last tick: those whose latest poll got no response. */
struct WorkerSilence {
    std::size_t listed = 0;
    std::size_t silent = 0;
    std::size_t listedInOwnDomain = 0; ///< In the domain of this daemon's host.
    std::size_t silentInOwnDomain = 0;
};

/** The link of this host to the workers of one region. */
struct RegionLink {
    std::string name; ///< Name of the region; empty for workers whose region is not known.
    OrderPacing pacing;
    std::size_t listed = 0; ///< Number of its listed workers at the last tick.
    std::size_t silent = 0; ///< Of these, the number whose latest poll got no response.
};

/** The table of workers with its index by id. */
struct Workers {
    WorkerTable table;
    absl::flat_hash_map<std::string, WorkerRef> byId;
    absl::flat_hash_set<std::string> malformed; ///< Ids of the entries in the list that cannot be used.
    MonotonicTime asOf{}; ///< The table includes everything that was in the list before this time.
    /** The first one is the only one unless the settings name several regions. */
    std::vector<RegionLink> regions = std::vector<RegionLink>(1);
    WorkerSilence silence;
};

} // namespace flamingotally::dispatch
