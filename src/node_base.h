/**
 * @file node_base.h State of one daemon: the replicated tables, local tables, inbox and outbox. Systems run over it
 * each tick.
 */
#pragma once

#include "message_type.h"
#include "settings_type.h"
#include "systems/scheduling_base.h"
#include "tables.h"

#include <array>
#include <deque>
#include <random>

namespace flamingotally
{

/** Replicated tables at one offset, encoded for the log. */
struct EncodedSnapshot {
    std::uint64_t offset = 0; ///< Offset that the tables had reached.
    std::uint64_t digest = 0; ///< Digest of the tables at that offset.
    std::string bytes;
};

/** Result of decoding a snapshot. */
struct DecodedSnapshot {
    std::uint64_t offset = 0; ///< Offset that the tables had reached.
    std::optional<Tables> tables; ///< Unset when the bytes could not be decoded.
};

/** Messages that arrived since the last tick. The ports add them. */
struct Inbox {
    std::vector<LogRead> logReads;
    std::vector<LogRead> peerReads; ///< Records fetched from peers. They do not prove where the log ends.
    std::vector<AppendResponse> appendResponses;
    std::vector<WorkerReport> workerReports;
    std::vector<ReceivedHeartbeat> heartbeats;
    std::vector<HostListRead> hostLists;
    std::vector<CallerRequest> callerRequests;
    std::optional<EncodedSnapshot> encodedSnapshot;
    std::optional<DecodedSnapshot> decodedSnapshot;
};

/** A heartbeat to send. */
struct OutgoingHeartbeat {
    std::string address; ///< "IP:port" of the peer.
    Heartbeat heartbeat;
};

/** A request for records to a peer. */
struct RecordFetch {
    std::string address; ///< "IP:port" of the peer.
    std::uint64_t fromOffset = 0;
};

/** Messages and requests of one tick. The ports send them. */
struct Outbox {
    std::optional<Batch> append;
    std::optional<std::uint64_t> readFrom; ///< Offset from which the log is read.
    std::vector<WorkerSync> workerSyncs;
    std::vector<OutgoingHeartbeat> heartbeats;
    std::vector<RecordFetch> recordFetches;
    std::vector<CallerResponse> responses;
    bool mustReadHosts = false; ///< Whether to read the host list.
    bool mustEncodeSnapshot = false; ///< Whether to encode the tables as they are after this tick.
    std::optional<EncodedSnapshot> snapshotToDecode; ///< Snapshot to decode.
};

struct ProposalTag;
using ProposalRef = Ref<ProposalTag>;

/** Progress of a proposal. */
enum class ProposalPhase : std::uint8_t {
    Queued, ///< Waits for the next batch.
    InFlight, ///< Part of the batch that is being appended.
    End,
};

/** A command that this daemon is going to append to the log. */
struct Proposal {
    Command command;
    ProposalPhase phase = ProposalPhase::Queued;
    /** Whether it waits Settings::urgentLinger, not Settings::lazyLinger, for others to join its batch. */
    bool urgent = false;
    MonotonicTime queuedAt{}; ///< Time at which it was queued.
    std::size_t bytes = 0; ///< Estimated encoded size.
    RequestHandle handle = 0; ///< Request that waits for the result of the command; zero for none.
    std::uint64_t order = 0; ///< Increases with every proposal: batches contain proposals in this order.
};

using ProposalTable = Table<ProposalTag, Proposal>;

/** The batch that is being appended. A daemon appends one batch at a time. */
struct BatchInFlight {
    Batch batch;
    std::vector<ProposalRef> proposals; ///< In the order of the batch's commands.
    MonotonicTime sentAt{}; ///< Time at which the batch was last sent.
    MonotonicTime resendAt{}; ///< Time at which the batch is sent again, unless it was read back from the log before.
    std::uint32_t failures = 0; ///< Number of consecutive sends that the log did not confirm as stored.
    std::uint32_t unansweredSends = 0; ///< Number of sends without a response, each of which the log may have stored.
    /** Whether the log has confirmed the batch as stored. Its results are known once it is read back. */
    bool isStored = false;
};

struct PeerTag;
using PeerRef = Ref<PeerTag>;

/** State of another daemon, from its heartbeats. */
struct Peer {
    std::string daemon;
    std::uint64_t incarnation = 0;
    MonotonicTime lastReceivedAt{}; ///< Time at which its last heartbeat arrived.
    std::uint64_t head = 0; ///< Newest end of the log that it knows of...
    MonotonicTime headAt{}; ///< ... and the latest time, by this daemon's clock, for which that is proven.
    std::uint64_t appliedOffset = 0;
    std::uint64_t digestOffset = 0;
    std::uint64_t digest = 0;
    bool leaving = false;
    bool readsLog = false;
    Milliseconds sentAt{0}; ///< Sending time of its newest heartbeat by the peer's clock, to be echoed to it.
    MonotonicTime sentReceivedAt{}; ///< Time at which that heartbeat arrived.
    /** Offset of the record with the first part of the newest complete snapshot that the peer knows; zero for none. */
    std::uint64_t snapshotRecord = 0;
    std::uint64_t comparedOffset = 0; ///< Offset of the last of its digests that was compared.
};

using PeerTable = Table<PeerTag, Peer>;

struct WorkerLinkTag;
using WorkerLinkRef = Ref<WorkerLinkTag>;

/**
 * Local state of the exchanges with one worker. Rows exist only for workers that this daemon owns or recently owned.
 */
struct WorkerLink {
    WorkerRef worker; ///< Unset while the worker is not registered.
    std::string name;
    std::string address;
    std::string domain;
    std::string rack;
    std::uint64_t bootId = 0; ///< Last boot that it reported; zero before its first report.
    WorkerTime clock{}; ///< The worker's clock at its last report.
    MonotonicTime lastReceivedAt{}; ///< Time at which its last report arrived.
    /** Time of the first of the consecutive failed exchanges; zero when the last exchange succeeded. */
    MonotonicTime unreachableSince{};
    MonotonicTime polledAt{}; ///< Time at which the last poll was sent.
    MonotonicTime orderedAt{}; ///< Time at which the last exchange with orders was sent.
    MonotonicTime nextTryAt{}; ///< End of the backoff after a failure: no exchange before this time.
    MonotonicTime straysStoppedAt{}; ///< Time at which attempts that are no longer live were last ordered to stop.
    std::uint32_t failures = 0; ///< Number of consecutive failed exchanges.
    bool pollInFlight = false; ///< Whether a poll (an exchange with a wait) is in progress.
    bool ordersInFlight = false; ///< Whether an exchange with orders is in progress.
    bool owned = false; ///< Whether this daemon owned the worker at the last tick.
    std::uint64_t ackedReport = 0; ///< Ends up to this report number are in the log.
    std::uint64_t seenReport = 0; ///< Highest report number of an end that it reported.
    std::vector<ReportedEnd> pendingEnds; ///< Reported ends that are not known to be in the log, by ascending number.
    std::vector<AttemptNumber> active; ///< Attempts that ran on it at the last report.
    bool listed = false; ///< Whether the worker is on the last host list.
    bool leaving = false; ///< Whether the host list marks the worker as leaving.
    Resources total; ///< Total capacity that the worker last reported.
};

using WorkerLinkTable = Table<WorkerLinkTag, WorkerLink>;

/** State of the lease system's last scan of its tables, so that idle ticks need no scan. */
struct LeaseScan {
    std::vector<WorkerLinkRef> linkOfWorker; ///< By index of the worker; unset for workers that other daemons own.
    MonotonicTime ownershipAt{}; ///< Time at which the owners of the workers were last computed.
    /** Digest of the set of live daemons and workers for which the owners were last computed. */
    std::uint64_t ownershipKey = 0;
    std::uint64_t appliedOffset = 0; ///< Offset at the last scan of attempts.
    MonotonicTime dueAt{}; ///< Time of the next scan if nothing changes before.
};

struct AttemptLinkTag;
using AttemptLinkRef = Ref<AttemptLinkTag>;

/** State of an attempt that only this daemon has, in addition to the replicated tables. */
struct AttemptLink {
    AttemptNumber attempt = 0;
    bool confirmed = false; ///< Whether the worker has reported the attempt as running.
    bool ended = false; ///< Whether the worker has reported the end of the attempt.
    ProposalRef endProposal; ///< Proposal of the end of the attempt; unset or stale when none is pending.
    ProposalRef expiryProposal; ///< Proposal to mark the attempt as lapsing, or to confirm that its lease has expired.
    MonotonicTime startSentAt{}; ///< Time of the last start order.
    MonotonicTime renewedAt{}; ///< Time of the last renewal.
    MonotonicTime stopSentAt{}; ///< Time of the last stop order.
    MonotonicTime lapsingReadAt{}; ///< Time at which this daemon read the lapsing mark.
    Resources usage; ///< Usage that the worker last reported.
};

using AttemptLinkTable = Table<AttemptLinkTag, AttemptLink>;

struct WaiterTag;
using WaiterRef = Ref<WaiterTag>;

/** A caller's request that waits for its response. */
struct Waiter {
    RequestHandle handle = 0;
    RequestId request; ///< Id of the job concerned; unset for changes of the configuration.
    MonotonicTime until{}; ///< Deadline of the response.
    /** Longest wait, after acceptance, for the end of the job; zero to respond on acceptance. */
    Milliseconds waitForEnd{0};
    bool accepted = false; ///< Whether the result is known: the proposal was read back, or no proposal was needed.
    bool isAwaitingEnd = false; ///< Whether `until` is already the deadline of the wait for the end of the job.
    ProposalRef proposal; ///< Proposal of the command, until it is read back.
    CommandResult result; ///< Result of the command.
};

using WaiterTable = Table<WaiterTag, Waiter>;

/** Evidence of the position of the log's end. */
struct HeadEvidence {
    std::uint64_t head = 0; ///< Offset at which the log ended...
    MonotonicTime provenAt{}; ///< ... at this time or later.
};

/** State of reading the log, and how recent this daemon's view of it is. */
struct View {
    HeadEvidence newest; ///< Latest evidence from any source.
    std::deque<HeadEvidence> pending; ///< Evidence of ends up to which the log is not applied yet, oldest first.
    std::uint64_t firstRetained = 0; ///< Oldest offset that the log still retains.
    std::uint32_t failedReads = 0; ///< Number of consecutive failed reads of the log.
    MonotonicTime nextReadAt{}; ///< End of the backoff after a failed read: no read of the log before this time.
    MonotonicTime fetchRequestedAt{}; ///< Time at which records were last requested from a peer.
    std::uint64_t knownHead = 0; ///< Highest end of the log known from any source.
    MonotonicTime freshAt{}; ///< Latest time for which all records that then existed are known to be applied here.
    MonotonicTime lastReadAt{}; ///< Time at which the log last responded to a read.
    MonotonicTime entryReceivedAt{}; ///< Time at which the last record arrived, to estimate the log's clock.
    /** Whether, at this tick, the view had caught up, was not blocked and was younger than the fence. */
    bool fresh = false;
    /** Whether the end of the log was reached since the start of the process and of the last load of a snapshot. */
    bool caughtUp = false;
    bool reading = false; ///< Whether a read of the log is in progress.
    bool lastReadFailed = false; ///< Whether the last read of the log failed.
    /** Whether a record of an unknown version prevents this daemon from applying further records. */
    bool blocked = false;
};

/** Counters exported at /metrics. */
struct Counters {
    std::array<std::uint64_t, static_cast<std::size_t>(Reason::End)>
        refusals{}; ///< Refused requests of callers, by reason.
    std::array<std::uint64_t, static_cast<std::size_t>(Reason::End)>
        rejections{}; ///< Own commands that were rejected when applied, by reason.
    std::array<std::uint64_t, static_cast<std::size_t>(RetryReason::End)> retries{}; ///< Retries, by reason.
    std::uint64_t accepted = 0; ///< Requests of callers that were accepted.
    std::uint64_t starts = 0; ///< Starts confirmed by workers.
    std::uint64_t appends = 0;
    std::uint64_t appendedBytes = 0;
    std::uint64_t recordsApplied = 0;
    std::uint64_t ticks = 0;
    std::uint64_t heartbeatsDropped = 0; ///< Heartbeats that were malformed, unauthenticated or of an unknown version.
    std::uint64_t digestMismatches = 0;
    std::uint64_t snapshotsLoaded = 0;
    std::uint64_t snapshotsWritten = 0;
    std::uint64_t snapshotsRefused = 0; ///< Snapshots that were malformed, had a wrong digest or contradicted peers.
};

/** Digest of the tables at an offset. */
struct TableDigest {
    std::uint64_t offset = 0;
    std::uint64_t digest = 0;
};

/** Phase of loading a snapshot. */
enum class LoadPhase : std::uint8_t {
    None, ///< Not loading: records are applied as they arrive.
    Seeking, ///< Collecting the parts of snapshots from the log.
    Decoding, ///< Decoding a complete snapshot.
    End,
};

/** Parts of one snapshot, as collected from the log. */
struct SnapshotParts {
    std::uint64_t offset = 0; ///< Offset that the tables had reached.
    std::uint64_t digest = 0;
    std::uint64_t firstRecord = 0; ///< Offset of the record that contained its first part.
    std::uint32_t count = 0; ///< Number of parts.
    std::uint32_t found = 0; ///< Number of parts that have been found.
    std::vector<std::string> parts; ///< Bytes of the parts, by index.
};

/** State of writing and loading snapshots. */
struct SnapshotWork {
    LoadPhase phase = LoadPhase::None;
    /** While seeking: whether the next read must first set the window of offsets to search. */
    bool isSeekWindowUnset = false;
    bool isReplayingAll = false; ///< Whether the complete log is replayed because it contains no snapshot.
    std::vector<SnapshotParts> collected; ///< While seeking: snapshots of which any part was found.
    std::vector<std::uint64_t> refused; ///< Offsets of the tables of the snapshots that were refused.
    std::uint64_t seekFrom = 0; ///< First offset of the window to search.
    std::uint64_t seekNext = 0; ///< Next offset to read while seeking.
    std::uint64_t seekEnd = 0; ///< End of the window to search.
    TableDigest decoding; ///< Expected offset and digest of the snapshot that is being decoded.
    std::uint64_t loadedOffset = 0; ///< Offset of the tables of the loaded snapshot; zero for none.
    MonotonicTime loadedAt{}; ///< Time at which the tables were last replaced.
    bool isConfirmed = true; ///< Whether a peer's digest has confirmed the loaded tables.
    std::uint64_t newestRecord = 0; ///< Offset of the record with the first part of the newest complete snapshot.
    std::uint64_t newestOffset = 0; ///< Offset of the tables of that snapshot.
    /** Snapshot whose parts are being counted as records are applied; without their bytes. */
    SnapshotParts observedParts;
    std::deque<SnapshotChunk> toPropose; ///< Parts of this daemon's snapshot that are not proposed yet.
    ProposalRef proposal; ///< Proposal of the part that is being appended.
    std::uint64_t bytes = 0; ///< Encoded size of the last snapshot that this daemon wrote.
};

/** Lifecycle phase of a daemon process. */
enum class NodePhase : std::uint8_t {
    CatchingUp, ///< Reading the log; accepts no work.
    Serving, ///< Accepts and schedules work.
    Draining, ///< Shutting down: completes the requests in progress.
    Drained, ///< Nothing is left to do: the process may exit.
    End,
};

/** Time of a tick. The clocks are read once per tick. */
struct TickTime {
    MonotonicTime now{};
    WallTime wall{};
};

/** State of one daemon. */
struct Node {
    Settings settings;
    std::uint64_t incarnation = 0; ///< Incarnation of this process; increases with every restart.
    NodePhase phase = NodePhase::CatchingUp;
    bool isFrontOpen = false; ///< Whether the HTTP front end still accepts requests; a shutdown must close it first.
    Tables tables; ///< Replicated state.
    View view;
    Inbox inbox;
    Outbox outbox;
    ProposalTable proposals;
    std::optional<BatchInFlight> inFlight;
    std::uint64_t nextSequence = 1;
    std::uint64_t nextProposal = 1;
    MonotonicTime appendIntervalStart{}; ///< Time from which the interval to the next append counts.
    PeerTable peers;
    WorkerLinkTable workerLinks;
    LeaseScan leaseScan;
    AttemptLinkTable attemptLinks;
    WaiterTable waiters;
    absl::flat_hash_map<std::string, WorkerLinkRef> workerLinkByName;
    absl::flat_hash_map<AttemptNumber, AttemptLinkRef> attemptLinkByNumber;
    absl::flat_hash_map<std::string, PeerRef> peerByName;
    absl::flat_hash_map<RequestHandle, WaiterRef> waiterByHandle;
    SchedulingState scheduling;
    Counters counters;
    std::mt19937_64 random; ///< Seeded by the code that creates the node.
    MonotonicTime nextWake{}; ///< Time by which the next tick must run; set by each tick.
    MonotonicTime heartbeatSentAt{}; ///< Time of the last heartbeats.
    MonotonicTime hostsRequestedAt{}; ///< Time at which the host list was last requested.
    MonotonicTime snapshotIntervalStart{}; ///< Time from which the interval to the next snapshot counts.
    ProposalRef leaveProposal; ///< Proposal to leave; unset or stale when none is pending.
    MonotonicTime drainingSince{}; ///< Time at which draining began; zero before that.
    bool joined = false; ///< Whether the command that joins this incarnation was applied.
    ProposalRef versionProposal; ///< Proposal to switch to a newer record version.
    ProposalRef joinProposal; ///< Proposal to join; unset or stale when none is pending.
    std::vector<HostRow> hosts; ///< Host list as last read, ordered by name.
    MonotonicTime hostsReceivedAt{}; ///< Time at which the host list last arrived; zero before the first host list.
    bool hostsChecked = false; ///< Whether the last host list was compared with the tables.
    /** Time since which the host list omits a host that is in the tables, by name of the host. */
    absl::flat_hash_map<std::string, MonotonicTime> missingSince;
    absl::flat_hash_map<std::string, ProposalRef> hostProposals; ///< Proposals caused by the host list, by host.
    std::deque<TableDigest> digests; ///< Recent digests of this daemon's tables, oldest first.
    SnapshotWork snapshot;
};

} // namespace flamingotally
