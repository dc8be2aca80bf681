/** @file entry_base.h The state of one entry daemon. The systems run over it in each tick. */
#pragma once

#include "dispatch/admission_base.h"
#include "dispatch/commit_type.h"
#include "dispatch/counter_base.h"
#include "dispatch/entry_settings.h"
#include "dispatch/event_type.h"
#include "dispatch/journal_share_type.h"
#include "dispatch/message_type.h"
#include "dispatch/region_base.h"
#include "dispatch/team_use_base.h"
#include "dispatch/work_base.h"
#include "dispatch/worker_base.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>

namespace flamingotally::dispatch
{

/** Messages that arrived since the last tick. Network code fills it, and the tick empties it. */
struct Inbox {
    std::vector<JournalRead> journalReads;
    std::vector<AppendResponse> appendResponses;
    std::vector<ConfigRead> configReads;
    std::vector<WorkerListRead> workerLists;
    std::vector<PollResponse> pollResponses;
    std::vector<OrderResponse> orderResponses;
    std::vector<AdviceResponse> adviceResponses;
    std::vector<CommitCall> commitCalls; ///< Batches of other daemons, for the owner.
    std::vector<CommitResponse> commitResponses;
    std::vector<CallerCall> calls;
    std::vector<PeerRead> peerReads;
};

/** A request to read the journal. */
struct JournalReadRequest {
    bool isSnapshot = false; ///< Read the newest record of every key; `from` is ignored.
    std::uint64_t from = 0; ///< Offset of the first record to read.
    Milliseconds wait{0}; ///< How long the store may wait for a record before it responds with none.
    /** Number of the load whose pages are wanted one by one as they arrive; zero if everything is wanted together. */
    std::uint64_t load = 0;
    std::uint64_t number = 0; ///< Increases with each request; JournalRead::number of the response.
    bool daemonsOnly = false; ///< Read only the records of daemons and the newest claim; other fields are ignored.
    bool keepsRaw = false; ///< The response contains the records as stored, too.
    std::string reader{}; ///< "IP:port" of the region's reader that is asked; empty for the store.
    Milliseconds timeout{0}; ///< Of a request to the region's reader: how long to wait for the response.
};

/** Messages that the tick decided to send. Network code empties it. */
struct Outbox {
    std::optional<JournalReadRequest> readJournal;
    std::vector<JournalBatch> batches;
    std::vector<PollOrder> polls;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<AdviceRequest> adviceRequests;
    std::vector<CommitRequest> commits; ///< Calls to the owner.
    std::vector<CommitAnswer> commitAnswers;
    std::vector<CallerResponse> responses;
    std::vector<Event> events; ///< Log lines.
    std::vector<PeerReadResponse> peerReadResponses;
};

/** Phase of the daemon process. */
enum class EntryPhase : std::uint8_t {
    CatchingUp, ///< The configuration or the journal has not been read yet.
    Serving,
    Draining, ///< The daemon is shutting down.
    End,
};

/** This daemon's view of the configuration. */
struct ConfigView {
    Configuration current; ///< The newest configuration.
    std::vector<std::string> domainsOut; ///< Failure domains that are out of service.
    MonotonicTime asOf{}; ///< The view includes everything that was in force before this time.
    bool loaded = false; ///< A configuration has been read.
    absl::flat_hash_map<KeyDigest, std::size_t> teamByKey; ///< Index into `current.teams`.
    absl::flat_hash_map<std::string, std::size_t> teamByName; ///< Index into `current.teams`.
};

/** This daemon's view of the journal. */
struct JournalView {
    bool loaded = false; ///< The newest records of all keys have been read.
    bool readInFlight = false; ///< A read is in flight.
    std::uint64_t nextOffset = 0; ///< Offset of the next record to read.
    MonotonicTime nextReadAt{}; ///< The next read is not sent before this time, unless a caller needs a newer view.
    MonotonicTime asOf{}; ///< The view includes everything that was stored before this time.
    MonotonicTime readAt{}; ///< When the last read succeeded.
    /** Since when all reads have succeeded; zero after a failed read or a paused process. */
    MonotonicTime readingSince{};
    std::uint32_t failures = 0; ///< Consecutive failed reads.
    Milliseconds readWait{0}; ///< How long the store may wait for a record before it responds to the read in flight.
    bool readRequested = false; ///< A call needs a newer view: the next read is sent immediately, and does not wait.
    /** The store has responded slowly; until this time a missing heartbeat of the owner is weaker evidence. */
    MonotonicTime slowUntil{};
    std::uint64_t readNumber = 0; ///< Number of the newest read; responses to earlier ones are ignored.
    MonotonicTime readSentAt{}; ///< When the newest read was sent.
    RegionView region;
};

/** Role of this daemon in the ownership of the cell. */
enum class OwnerPhase : std::uint8_t {
    Follower,
    Claiming, ///< Its claim has been queued or sent, but not been read back yet.
    Owner,
    Releasing, ///< The record that releases ownership has been queued or sent.
    End,
};

/** A daemon, as the journal shows it. */
struct KnownDaemon {
    DaemonRecord record;
    MonotonicTime seenAt{}; ///< When its record was last read.
    bool isAlive = true; ///< It has written its record within the time that daemonListSystem() allows.
};

/** Ownership of the cell: which daemon decides. */
struct Ownership {
    OwnerPhase phase = OwnerPhase::Follower;
    ClaimRecord newest; ///< Newest claim in the journal.
    Token token = 0; ///< Fencing token of this daemon's claim, while the daemon claims, owns or releases.
    MonotonicTime claimedAt{}; ///< When this daemon read its own claim back from the journal.
    ClaimRecord previous; ///< While owner: the newest claim before this daemon's own.
    /** When it became known that the previous owner sends no more orders; zero before. */
    MonotonicTime previousOwnerStoppedAt{};
    /**
     * When the newest claim was read; zero if that was at the initial load, in which the age of a record is unknown.
     */
    MonotonicTime newestReadAt{};
    /** The previous owner has owned for so long that the orders of the owners before it are no longer in effect. */
    bool earlierOwnersExpired = false;
    MonotonicTime ownerWroteAt{}; ///< When a record written by the owner was last read.
    MonotonicTime storedBatchSentAt{}; ///< While owner: when the newest of its stored batches was sent.
    /** While owner: when the first batch was sent of those stored since without a long gap; see isStale(). */
    MonotonicTime storingSince{};
    MonotonicTime freshViewsAt{}; ///< While owner: when all views were last fresh; see hasFreshViews().
    Token resigned = 0; ///< Highest fencing token under which this daemon owned the cell and lost or released it.
    MonotonicTime backoffUntil{}; ///< This daemon claims nothing before this time.
    Milliseconds tickDelay{0}; ///< Smoothed delay of ticks behind the time at which they had to run.
    /** Since when ticks of this owner have been delayed so much that it cannot keep up; zero while it can. */
    MonotonicTime overloadedSince{};
    std::map<std::string, KnownDaemon> daemons; ///< By name, also those that are not alive.
    std::size_t daemonsAlive = 0; ///< Number of daemons that are alive.
};

/** A record that waits to be written, and the call that waits for it. */
struct QueuedRecord {
    JournalRecord record;
    CallHandle handle = 0; ///< Zero when no call waits.
};

/** One writer of the journal. At most one batch is in flight. */
struct Writer {
    std::vector<QueuedRecord> queue; ///< Records that are not in a batch yet.
    std::optional<JournalBatch> batch; ///< In flight, or to be sent again.
    std::vector<CallHandle> handles; ///< One for each record of the batch.
    bool inFlight = false; ///< The batch has been sent, and no response has arrived.
    bool mayBeStored = false; ///< The batch was sent without a response, so it may be stored.
    bool wasRefused = false; ///< The store refused the last send of a batch.
    bool isSlow = false; ///< The last append took long, was refused or got no response.
    MonotonicTime refusedAt{}; ///< When the store refused a batch last; zero for never.
    CommitRoute route = CommitRoute::Store; ///< Way of the last send. Batches of the owner's writer go to the store.
    CommitRoute loggedRoute = CommitRoute::Store; ///< Way that was chosen last, as the log tells it.
    bool isRelaying = false; ///< The owner stored the last batch, and its append was slow.
    /** A batch went through the owner since the epoch began, so that the next direct send begins a new one. */
    bool needsEpoch = false;
    Token epoch = 1; ///< Fencing token of the batches; for the owner's writer the owner's token.
    std::uint64_t sequence = 1; ///< Sequence number of the batch, or of the next one while the writer has no batch.
    std::uint64_t batchesMade = 0; ///< Number of the newest batch, from 1; zero before the first one.
    std::uint64_t batchesStored = 0; ///< Number of the newest batch that is stored; zero before the first one.
    MonotonicTime madeAt{}; ///< When the newest batch was made.
    MonotonicTime sentAt{}; ///< When a batch was last sent.
    MonotonicTime sendAt{}; ///< No batch is sent before this time.
    Milliseconds latency{20}; ///< Smoothed time of the appends that were stored.
    Milliseconds timeout{0}; ///< Time-out of the last append, which the next one at least doubles if it got no answer.
};

struct CallTag;
using CallRef = Ref<CallTag>;

/** State of a caller's request inside this daemon. */
enum class CallPhase : std::uint8_t {
    Waiting, ///< The call waits for a fresh view of the configuration or the journal.
    Writing, ///< A record for the call has been queued or sent.
    End,
};

/** A caller's request that has not been answered yet. */
struct Call {
    CallerCall call;
    CallPhase phase = CallPhase::Waiting;
    JobId job = 0; ///< Job that the call is about; zero for none.
    std::string queue; ///< Name of the queue that the call addresses; empty until the queue was found.
};

using CallTable = Table<CallTag, Call>;

/** A daemon that can send requests to the policy service: this one or a peer. */
struct Relay {
    std::uint32_t requestsInFlight = 0;
    double pendingMs = 0; ///< Estimated time that the requests in flight take, in milliseconds.
    bool lastSucceeded = false; ///< The last request through the relay succeeded.
    MonotonicTime avoidUntil{}; ///< After a failure: the relay gets no requests before this time.
};

/** A request to the policy service that is in flight. */
struct PendingAdvice {
    GroupRef group;
    std::string relay; ///< Name of the daemon that sends it to the service.
    std::vector<WorkerRef> workers; ///< The workers in the request.
    double costMs = 0; ///< Estimated time that the service takes for the request, in milliseconds.
    bool isOfBacklog = false; ///< The group was in AdviceState::backlog.
};

/** Requests to the policy service: those in flight and the groups that need one. */
struct AdviceState {
    std::uint64_t nextNumber = 1; ///< Number of the next request.
    absl::flat_hash_map<std::uint64_t, PendingAdvice> pending; ///< By the request's number.
    std::map<std::string, Relay> relays; ///< By the daemon's name.
    std::vector<GroupRef> needed; ///< Groups that needed advice in the last pass and have none yet, most urgent first.
    std::uint64_t triedInPass = 0; ///< Number of the last pass after which requests for `needed` were tried.
    std::deque<GroupRef> backlog; ///< Groups that need advice, but are too late to be useful; first come, first served.
    std::vector<GroupRef> prefetch; ///< Groups that will open soon and have had no request yet.
    /** Groups with placed runs whose tickets have expired; their requests are sent first. */
    std::vector<GroupRef> renewals;
};

/** Wall time derived from the monotonic clock, so that a short step of the wall clock does not shift due times. */
struct WallEstimate {
    bool wasRead = false; ///< The wall clock has been read at least once.
    Milliseconds offset{0}; ///< Wall time minus monotonic time.
    Milliseconds candidate{0}; ///< Different offset that the wall clock currently shows.
    MonotonicTime candidateSince{}; ///< Since when the wall clock shows `candidate`; zero if it agrees with `offset`.
};

/** State of the periodic log line about this daemon's load. */
struct LoadReport {
    MonotonicTime dueAt{}; ///< Time of the next line.
    TrafficByKind traffic{}; ///< Traffic at the last line.
    std::uint64_t workersEvaluated = 0; ///< EntryCounters::workersEvaluated at the last line.
    Milliseconds longestTick{0}; ///< Since the last line.
    Milliseconds tickTime{0}; ///< Time spent in ticks since the last line.
    std::uint64_t ticks = 0; ///< EntryCounters::ticks at the last line.
};

/** State of the log line about callers that reached limits of the servers. */
struct LimitReport {
    MonotonicTime dueAt{}; ///< Earliest time of the next line.
    HttpLimitCounts counts{}; ///< EntryCounters::httpLimits at the last line.
};

/** Reading of the clocks; taken once for each tick. */
struct TickTime {
    MonotonicTime now{};
    WallTime wall{};
};

/** The state of one entry daemon. */
struct Entry {
    EntrySettings settings;
    std::uint64_t incarnation = 0; ///< Increases with each restart of the daemon.
    std::uint64_t journalLoads = 0; ///< Number of the newest load of the journal that is applied page by page.
    EntryPhase phase = EntryPhase::CatchingUp;
    ConfigView config;
    JournalView journal;
    Ownership ownership;
    Jobs jobs;
    Work work;
    Workers workers;
    PastUse pastUse;
    std::array<Writer, enumSize<JournalWriter>> writers;
    CallTable calls;
    AdviceState advice;
    SharedJournal share;
    CommitState commits;
    Admission admission;
    WallEstimate wall;
    EntryCounters counters;
    ConnectionCounts connections;
    LoadReport loadReport;
    LimitReport limitReport;
    Inbox inbox;
    Outbox outbox;
    std::size_t maxAdviceWorkers = 0; ///< AdviceClient::maxAdviceWorkers of the port; set by runTick().
    MonotonicTime tickedAt{}; ///< Time of the last tick.
    MonotonicTime dueTickAt{}; ///< When the current tick had to run at the latest.
    MonotonicTime nextWake{}; ///< The next tick must run no later than this; each tick sets it anew.
    MonotonicTime nextRetentionScanAt{}; ///< Next search for jobs whose retention period has passed.
    MonotonicTime ownRecordDueAt{}; ///< When the daemon writes its own DaemonRecord next; zero at its start.

    Writer &writer(JournalWriter which)
    {
        return writers[static_cast<std::size_t>(which)];
    }

    bool isOwner() const
    {
        return ownership.phase == OwnerPhase::Owner;
    }

    /** Makes the next tick run no later than the given time. */
    void wakeBy(MonotonicTime at)
    {
        nextWake = std::min(nextWake, at);
    }
};

} // namespace flamingotally::dispatch
