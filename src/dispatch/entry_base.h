/** @file entry_base.h One entry daemon's own state. Systems run over it each tick. */
#pragma once

#include "dispatch/entry_settings.h"
#include "dispatch/event_type.h"
#include "dispatch/message_type.h"
#include "dispatch/work_base.h"
#include "dispatch/worker_base.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>

namespace flamingotally::dispatch
{

/** What arrived since the last tick. Network code fills it. */
struct Inbox {
    std::vector<JournalRead> journalReads;
    std::vector<AppendResponse> appendResponses;
    std::vector<ConfigRead> configReads;
    std::vector<WorkerListRead> workerLists;
    std::vector<PollResponse> pollResponses;
    std::vector<OrderResponse> orderResponses;
    std::vector<AdviceResponse> adviceResponses;
    std::vector<CallerCall> calls;
};

/** A read of the journal. */
struct JournalReadRequest {
    bool whole = false; ///< Read the newest record of every key.
    std::uint64_t from = 0;
    Milliseconds wait{0};
};

/** What the tick decided to send. Network code empties it. */
struct Outbox {
    std::optional<JournalReadRequest> readJournal;
    std::vector<JournalBatch> batches;
    std::vector<PollOrder> holds;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<AdviceRequest> questions;
    std::vector<CallerResponse> answers;
    std::vector<Event> events; ///< Lines for the log.
};

/** Life of the process. */
enum class EntryPhase : std::uint8_t {
    CatchingUp, ///< Has not read the configuration and the journal yet.
    Serving,
    Draining, ///< Shutting down.
    End,
};

/** What this daemon knows of the configuration. */
struct ConfigView {
    Configuration current;
    std::vector<std::string> domainsOut;
    MonotonicTime asOf{}; ///< All that was in force before this time is known.
    bool known = false;
    absl::flat_hash_map<KeyDigest, std::size_t> teamByKey; ///< Index of the team.
    absl::flat_hash_map<std::string, std::size_t> teamByName;
};

/** What this daemon knows of the journal. */
struct JournalView {
    bool loaded = false;
    bool reading = false;
    std::uint64_t nextOffset = 0;
    MonotonicTime nextReadAt{};
    MonotonicTime asOf{}; ///< All that was stored before this time is known.
    MonotonicTime readAt{}; ///< When the last read was answered.
    MonotonicTime readingSince{}; ///< Reads were answered without a gap since then.
    std::uint32_t failures = 0; ///< Reads failed in a row.
    Milliseconds waits{0}; ///< How long the read under way may wait.
    bool wanted = false; ///< A caller waits for a newer view: the next read is sent at once and waits for nothing.
    MonotonicTime slowUntil{}; ///< The store was seen to answer slowly; silence means less until then.
};

/** Part that this daemon plays. */
enum class OwnerPhase : std::uint8_t {
    Follower,
    Claiming, ///< Its claim is on its way.
    Owner,
    Releasing, ///< Its last record, which gives ownership up, is on its way.
    End,
};

/** Who decides. */
struct Ownership {
    OwnerPhase phase = OwnerPhase::Follower;
    ClaimRecord newest; ///< Newest claim in the journal.
    Token token = 0; ///< Own token, while claiming or owner.
    MonotonicTime claimedAt{}; ///< When the own claim was read back.
    ClaimRecord former; ///< While owner: the claim before the own one.
    MonotonicTime formerGoneAt{}; ///< When the former owner was known to give no more orders; zero before.
    MonotonicTime newestReadAt{}; ///< When the newest claim was read as it was written; zero when it was there before.
    bool formerHeldLong = false; ///< The former owner held on for so long that nobody's before its orders are in force.
    MonotonicTime ownerWroteAt{}; ///< When a record of the owner was last read.
    MonotonicTime contactAt{}; ///< While owner: when the last batch that was stored had been sent.
    Token resigned = 0; ///< Highest own token that was given up.
    MonotonicTime backoffUntil{}; ///< No claim before this.
    std::map<std::string, DaemonRecord> daemons; ///< By name.
};

/** A record that waits to be written, and who waits for it. */
struct QueuedRecord {
    JournalRecord record;
    CallHandle handle = 0; ///< Zero for nobody.
};

/** One writer of the journal. At most one batch is under way. */
struct Writer {
    std::vector<QueuedRecord> queue;
    std::optional<JournalBatch> batch; ///< Under way, or refused and to be sent again.
    std::vector<CallHandle> handles; ///< Of the batch's records.
    bool inFlight = false;
    bool mayBeStored = false; ///< A send of the batch went without an answer.
    bool wasRefused = false; ///< The last send was refused.
    Token epoch = 1; ///< Of an owner's writer: its token.
    std::uint64_t sequence = 1; ///< Of the next batch.
    std::uint64_t batches = 0; ///< Batches made.
    std::uint64_t stored = 0; ///< Batches stored.
    MonotonicTime madeAt{}; ///< When the batch was made.
    MonotonicTime sentAt{};
    MonotonicTime sendAt{}; ///< No send before this.
    Milliseconds latency{20}; ///< Smoothed time of an answer.
};

struct CallTag;
using CallRef = Ref<CallTag>;

/** State of a caller's request. */
enum class CallPhase : std::uint8_t {
    Waiting, ///< For a fresh view.
    Writing, ///< Its record is on its way.
    End,
};

/** A caller's request in hand. */
struct Call {
    CallerCall call;
    CallPhase phase = CallPhase::Waiting;
    JobId job = 0;
    std::string queue; ///< Its queue, once that was found.
};

using CallTable = Table<CallTag, Call>;

/** A daemon that can ask the policy service. */
struct Relay {
    std::uint32_t asking = 0; ///< Questions under way.
    double busyMs = 0; ///< Time that these will take, in milliseconds.
    bool proven = false; ///< Its last question was answered.
    MonotonicTime avoidUntil{}; ///< After a failure.
};

/** A question under way. */
struct Question {
    GroupRef group;
    std::string relay; ///< Name of the daemon that asks.
    std::vector<std::string> workers;
    double costMs = 0;
};

/** Questions to the policy service. */
struct AdviceState {
    std::uint64_t nextNumber = 1;
    absl::flat_hash_map<std::uint64_t, Question> questions;
    std::map<std::string, Relay> relays; ///< By the daemon's name.
    std::vector<GroupRef> wanted; ///< Groups that need advice, most urgent first.
    std::vector<GroupRef> ahead; ///< Groups that will soon be open and have not been asked about.
    std::vector<GroupRef> renewals; ///< Groups with placed runs whose tickets have expired; they go first.
};

/** Wall time by the monotonic clock, so that steps of the wall clock do not reach due times at once. */
struct WallEstimate {
    bool known = false;
    Milliseconds offset{0}; ///< Wall time less monotonic time.
    Milliseconds candidate{0}; ///< Another offset that is seen of late...
    MonotonicTime candidateSince{}; ///< ... since then.
};

/** Step whose time is counted. */
enum class LatencyKind : std::uint8_t {
    Accept, ///< From a request to its record in the journal.
    QueueWait, ///< From the opening of a group to the placement of tasks of it.
    Append, ///< Of a batch that was stored, from its last send.
    Read, ///< Of a read of the journal, the time that it waited for a record included.
    Start, ///< Of a start that was taken.
    Hold, ///< Of a hold that was answered, the time that the worker waited included.
    End,
};

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

/** How often a step took how long. */
struct Latency {
    std::array<std::uint64_t, latencyBounds.size() + 1> counts{}; ///< By bound; the last one counts what is longer.
    Milliseconds sum{0};
};

/** Figures for /metrics. */
struct EntryCounters {
    std::uint64_t ticks = 0;
    std::uint64_t accepted = 0;
    std::uint64_t starts = 0;
    std::uint64_t refusals = 0; ///< Calls answered as not run.
    std::uint64_t undecided = 0; ///< Calls whose outcome was not known in time.
    std::uint64_t claims = 0;
    std::uint64_t resignations = 0;
    std::uint64_t lostRuns = 0;
    std::array<std::uint64_t, enumSize<OrderResult>> rejectedStarts{};
    std::array<Latency, enumSize<LatencyKind>> latencies{};
    std::uint64_t unansweredOrders = 0;
    std::uint64_t batches = 0;
    std::uint64_t questions = 0;
    std::uint64_t droppedLines = 0;

    /** Counts one step. */
    void observe(LatencyKind kind, Milliseconds time)
    {
        auto &latency = latencies[static_cast<std::size_t>(kind)];
        const auto it = std::ranges::lower_bound(latencyBounds, time);
        ++latency.counts[static_cast<std::size_t>(it - latencyBounds.begin())];
        latency.sum += time;
    }
    std::array<std::uint64_t, enumSize<RunEnd>> ends{};
};

/** What systems read of the clocks: one reading a tick. */
struct TickTime {
    MonotonicTime now{};
    WallTime wall{};
};

/** One entry daemon. */
struct Entry {
    EntrySettings settings;
    std::uint64_t incarnation = 0; ///< Rises over restarts.
    EntryPhase phase = EntryPhase::CatchingUp;
    ConfigView config;
    JournalView journal;
    Ownership ownership;
    Jobs jobs;
    Work work;
    Workers workers;
    std::array<Writer, enumSize<JournalWriter>> writers;
    CallTable calls;
    AdviceState advice;
    WallEstimate wall;
    EntryCounters counters;
    Inbox inbox;
    Outbox outbox;
    MonotonicTime tickedAt{};
    MonotonicTime nextWake{}; ///< Latest time of the next tick, set by the tick.
    MonotonicTime expiryAt{}; ///< Next look for jobs that ended long ago.
    bool introduced = false; ///< Its own record was queued.

    Writer &writer(JournalWriter which)
    {
        return writers[static_cast<std::size_t>(which)];
    }

    bool isOwner() const
    {
        return ownership.phase == OwnerPhase::Owner;
    }

    /** Asks for a tick not later than this. */
    void wakeBy(MonotonicTime at)
    {
        nextWake = std::min(nextWake, at);
    }
};

} // namespace flamingotally::dispatch
