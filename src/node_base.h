/**
 * @file node_base.h One daemon's own state: the replicated tables, local tables, inboxes and outboxes. Systems run
 * over it each tick.
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

/** The tables at one offset, encoded for the log. */
struct EncodedSnapshot {
    std::uint64_t offset = 0;
    std::uint64_t digest = 0; ///< Digest of the tables at that offset.
    std::string bytes;
};

/** Tables that were decoded from a snapshot. */
struct DecodedSnapshot {
    std::uint64_t offset = 0;
    std::optional<Tables> tables; ///< Unset when the bytes are no tables.
};

/** What arrived since the last tick. Network code fills it. */
struct Inbox {
    std::vector<LogRead> logReads;
    std::vector<LogRead> peerReads; ///< Records fetched from a peer; prove nothing about the log's end.
    std::vector<AppendResponse> appendResponses;
    std::vector<WorkerReport> workerReports;
    std::vector<ReceivedHeartbeat> heartbeats;
    std::vector<HostListRead> hostLists;
    std::vector<CallerRequest> callerRequests;
    std::optional<EncodedSnapshot> encodedSnapshot;
    std::optional<DecodedSnapshot> decodedSnapshot;
};

/** A heartbeat on its way out. */
struct OutgoingHeartbeat {
    std::string address; ///< "IP:port" of the peer.
    Heartbeat heartbeat;
};

/** A fetch of records from a peer. */
struct RecordFetch {
    std::string address; ///< "IP:port" of the peer.
    std::uint64_t fromOffset = 0;
};

/** What the tick decided to send. Network code empties it. */
struct Outbox {
    std::optional<Batch> append;
    std::optional<std::uint64_t> readFrom; ///< Read the log from this offset on.
    std::vector<WorkerSync> workerSyncs;
    std::vector<OutgoingHeartbeat> heartbeats;
    std::vector<RecordFetch> recordFetches;
    std::vector<CallerResponse> responses;
    bool readHosts = false;
    bool encodeSnapshot = false; ///< Encode the tables as they are after this tick.
    std::optional<EncodedSnapshot> decodeSnapshot; ///< Decode this into tables.
};

struct ProposalTag;
using ProposalRef = Ref<ProposalTag>;

/** How far a proposal is. */
enum class ProposalPhase : std::uint8_t {
    Queued, ///< Waits for a batch.
    InFlight, ///< In the batch that is being appended.
    End,
};

/** A command that this daemon wants in the log. */
struct Proposal {
    Command command;
    ProposalPhase phase = ProposalPhase::Queued;
    bool urgent = false; ///< Closes the batch at once.
    MonotonicTime queuedAt{};
    std::size_t bytes = 0; ///< Estimate of its encoded size.
    RequestHandle handle = 0; ///< The caller who waits for it; zero for none.
    std::uint64_t order = 0; ///< Rises with every proposal: batches keep this order.
};

using ProposalTable = Table<ProposalTag, Proposal>;

/** The one batch that is being appended. */
struct BatchInFlight {
    Batch batch;
    std::vector<ProposalRef> proposals; ///< In the order of the batch's commands.
    MonotonicTime sentAt{}; ///< When it was last sent.
    MonotonicTime resendAt{}; ///< When it is sent again, unless read back before.
    std::uint32_t failures = 0; ///< Sends in a row that the log did not answer as stored.
    std::uint32_t unansweredSends = 0; ///< Sends that may have been stored without an answer.
    bool answered = false; ///< The log has stored it; only the read-back is missing.
};

struct PeerTag;
using PeerRef = Ref<PeerTag>;

/** What is known of another daemon by its heartbeats. */
struct Peer {
    std::string daemon;
    std::uint64_t incarnation = 0;
    MonotonicTime lastReceivedAt{}; ///< Arrival of its last heartbeat.
    std::uint64_t head = 0; ///< End of the log that it knows of...
    MonotonicTime headAt{}; ///< ... and when, by this daemon's clock, that was proven at the latest.
    std::uint64_t appliedOffset = 0;
    std::uint64_t digestOffset = 0;
    std::uint64_t digest = 0;
    bool leaving = false;
    bool readsLog = false;
    Milliseconds sentAt{0}; ///< Sending time of its newest heartbeat, to be echoed...
    MonotonicTime sentReceivedAt{}; ///< ... and when that arrived.
    std::uint64_t snapshotRecord = 0; ///< Where it knows a complete snapshot to begin.
    std::uint64_t comparedOffset = 0; ///< Last of its digests that was compared.
};

using PeerTable = Table<PeerTag, Peer>;

struct WorkerLinkTag;
using WorkerLinkRef = Ref<WorkerLinkTag>;

/** This daemon's line to one worker. Rows exist only for workers that it owns or owned lately. */
struct WorkerLink {
    WorkerRef worker; ///< Unset while the worker is not registered.
    std::string name;
    std::string address;
    std::string domain;
    std::string rack;
    std::uint64_t bootId = 0; ///< Last boot that it reported; zero when it was never heard.
    WorkerTime clock{}; ///< Its clock at the last report.
    MonotonicTime lastReceivedAt{}; ///< Arrival of its last report.
    MonotonicTime unreachableSince{}; ///< First failure since; zero when the last exchange succeeded.
    MonotonicTime polledAt{}; ///< When the exchange that waits was sent.
    MonotonicTime orderedAt{}; ///< When the exchange that carries orders was sent.
    MonotonicTime nextTryAt{}; ///< After a failure: no exchange before this.
    MonotonicTime straysStoppedAt{}; ///< When attempts that are over were last ordered to stop.
    std::uint32_t failures = 0; ///< Exchanges failed in a row.
    bool pollInFlight = false; ///< An exchange that waits is under way.
    bool ordersInFlight = false; ///< An exchange that carries orders is under way.
    bool owned = false; ///< Whether this daemon owned the worker at the last tick.
    std::uint64_t ackedReport = 0; ///< Ends up to this number are in the log.
    std::uint64_t seenReport = 0; ///< Highest number of an end that it reported.
    std::vector<ReportedEnd> pendingEnds; ///< Reported ends that are not known to be in the log, by rising number.
    std::vector<AttemptNumber> active; ///< What ran there at the last report.
    bool listed = false; ///< On the last host list.
    bool leaving = false; ///< Marked as leaving there.
    Resources total; ///< What it last reported to have.
};

using WorkerLinkTable = Table<WorkerLinkTag, WorkerLink>;

/** When the lease system last went over its tables, so that an idle tick costs nothing. */
struct LeaseScan {
    std::vector<WorkerLinkRef> linkOfWorker; ///< By index of the worker; unset for workers that others own.
    MonotonicTime ownershipAt{}; ///< When ownership was last worked out...
    std::uint64_t ownershipKey = 0; ///< ... for this set of live daemons and workers.
    std::uint64_t appliedOffset = 0; ///< Offset at the last scan of attempts.
    MonotonicTime dueAt{}; ///< When the next scan is due although nothing happened.
};

struct AttemptLinkTag;
using AttemptLinkRef = Ref<AttemptLinkTag>;

/** What this daemon knows of an attempt beyond the log. */
struct AttemptLink {
    AttemptNumber attempt = 0;
    bool confirmed = false; ///< The worker reported it as running.
    bool ended = false; ///< The worker reported its end.
    ProposalRef endProposal; ///< Proposal of its end; unset or gone when there is none under way.
    ProposalRef lapseProposal; ///< Proposal of its lapsing mark or of the confirmation.
    MonotonicTime startSentAt{}; ///< Last start order.
    MonotonicTime renewedAt{}; ///< Last renewal.
    MonotonicTime stopSentAt{}; ///< Last stop order.
    MonotonicTime lapsingReadAt{}; ///< When this daemon read the lapsing mark.
    Resources usage; ///< Last reported usage.
};

using AttemptLinkTable = Table<AttemptLinkTag, AttemptLink>;

struct WaiterTag;
using WaiterRef = Ref<WaiterTag>;

/** A caller who waits. */
struct Waiter {
    RequestHandle handle = 0;
    RequestId request; ///< The job it is about; unset for changes of the configuration.
    MonotonicTime until{}; ///< Answered by then in any case.
    Milliseconds waitForEnd{
        0}; ///< Once accepted, how long it waits for the end of the job; zero to be answered at once.
    bool accepted = false; ///< Its proposal has been read back.
    bool waitsForEnd = false; ///< It was accepted, and `until` bounds the wait for the end.
    ProposalRef proposal; ///< Its proposal, until read back.
    CommandResult result;
};

using WaiterTable = Table<WaiterTag, Waiter>;

/** Proof of where the log ended. */
struct HeadEvidence {
    std::uint64_t head = 0; ///< The log ended here...
    MonotonicTime provenAt{}; ///< ... at this time or later.
};

/** How much this daemon knows of the log's end. */
struct View {
    HeadEvidence newest; ///< Latest proof from any source.
    std::deque<HeadEvidence> pending; ///< Proofs of ends that are not applied up to yet, oldest first.
    std::uint64_t firstRetained = 0; ///< Oldest offset that the log still keeps.
    std::uint32_t failedReads = 0; ///< Reads failed in a row.
    MonotonicTime nextReadAt{}; ///< After a failure: no read before this.
    MonotonicTime fetchedAt{}; ///< When records were last asked of a peer.
    std::uint64_t knownHead = 0; ///< Highest end of the log known from any source.
    MonotonicTime freshAt{}; ///< Latest time at which all records that existed were applied here.
    MonotonicTime lastReadAt{}; ///< When the log last answered a read.
    MonotonicTime entryReceivedAt{}; ///< When the last record arrived, to estimate the log's clock.
    bool fresh = false; ///< Whether the view is younger than the fence, as of this tick.
    bool caughtUp = false; ///< Whether the head was reached once since the start.
    bool reading = false; ///< A read is under way.
    bool lastReadFailed = false;
    bool blocked = false; ///< A record of an unknown version stopped this daemon.
};

/** Counters that /metrics shows. */
struct Counters {
    std::array<std::uint64_t, static_cast<std::size_t>(Reason::End)> refusals{}; ///< Answers to callers.
    std::array<std::uint64_t, static_cast<std::size_t>(Reason::End)> rejections{}; ///< Own commands at apply.
    std::array<std::uint64_t, static_cast<std::size_t>(RetryReason::End)> retries{};
    std::uint64_t accepted = 0;
    std::uint64_t starts = 0; ///< Starts confirmed by workers.
    std::uint64_t appends = 0;
    std::uint64_t appendedBytes = 0;
    std::uint64_t recordsApplied = 0;
    std::uint64_t ticks = 0;
    std::uint64_t heartbeatsDropped = 0; ///< Malformed, unauthenticated or of an unknown version.
    std::uint64_t digestMismatches = 0;
    std::uint64_t snapshotsLoaded = 0;
    std::uint64_t snapshotsWritten = 0;
    std::uint64_t snapshotsRefused = 0; ///< Malformed, of a wrong digest, or contradicted by peers.
};

/** Digest of the tables at an offset. */
struct TableDigest {
    std::uint64_t offset = 0;
    std::uint64_t digest = 0;
};

/** What loading a snapshot waits for. */
enum class LoadPhase : std::uint8_t {
    None, ///< Tables are usable: records are applied as they come.
    Seeking, ///< Collects the parts of snapshots from the log.
    Decoding, ///< A complete one is being decoded.
    End,
};

/** Parts of one snapshot, as collected from the log. */
struct SnapshotParts {
    std::uint64_t offset = 0; ///< The tables were at this offset.
    std::uint64_t digest = 0;
    std::uint64_t firstRecord = 0; ///< Offset of the record that held its first part.
    std::uint32_t count = 0;
    std::uint32_t found = 0;
    std::vector<std::string> parts;
};

/** Writing and loading of snapshots. */
struct SnapshotWork {
    LoadPhase phase = LoadPhase::None;
    bool needsWindow = false; ///< While seeking: the next read tells where to look.
    bool replaysAll = false; ///< There is no snapshot: the whole log is replayed.
    std::vector<SnapshotParts> collected; ///< While seeking: snapshots with any part found.
    std::vector<std::uint64_t> refused; ///< Offsets of snapshots that were refused.
    std::uint64_t seekFrom = 0; ///< Where the window begins.
    std::uint64_t seekNext = 0; ///< Next offset to read while seeking.
    std::uint64_t seekEnd = 0; ///< Where the window ends.
    TableDigest decoding; ///< What the tables that are being decoded must come to.
    std::uint64_t loadedOffset = 0; ///< Offset of the snapshot that was loaded; zero for none.
    MonotonicTime loadedAt{}; ///< When tables were last replaced.
    bool isConfirmed = true; ///< Whether a peer's digest has confirmed what was loaded.
    std::uint64_t newestRecord = 0; ///< Offset of the record that begins the newest complete snapshot.
    std::uint64_t newestOffset = 0; ///< Offset of its tables.
    SnapshotParts observedParts; ///< Parts counted as they pass, without their bytes.
    std::deque<SnapshotChunk> toPropose; ///< Parts of the own snapshot that wait for the log.
    ProposalRef proposal; ///< Part that is under way.
    std::uint64_t bytes = 0; ///< Size of the last own one.
};

/** Life of the process. */
enum class NodePhase : std::uint8_t {
    CatchingUp, ///< Reads the log; takes no work.
    Serving,
    Draining, ///< Shutting down: finishes what it has.
    Drained, ///< Nothing left to do: the process may exit.
    End,
};

/** What systems read of the clocks: one reading a tick. */
struct TickTime {
    MonotonicTime now{};
    WallTime wall{};
};

/** One daemon. */
struct Node {
    Settings settings;
    std::uint64_t incarnation = 0; ///< Of this process: rises over restarts.
    NodePhase phase = NodePhase::CatchingUp;
    bool frontOpen = false; ///< The front still takes requests: a shutdown is not complete before it has closed.
    Tables tables; ///< Replicated.
    View view;
    Inbox inbox;
    Outbox outbox;
    ProposalTable proposals;
    std::optional<BatchInFlight> inFlight;
    std::uint64_t nextSequence = 1;
    std::uint64_t nextProposal = 1;
    MonotonicTime appendedAt{}; ///< When the last batch was closed.
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
    std::mt19937_64 random; ///< Seeded by whoever builds the node.
    MonotonicTime nextWake{}; ///< Latest time of the next tick, set by the tick.
    MonotonicTime heartbeatSentAt{};
    MonotonicTime hostsReadAt{};
    MonotonicTime snapshotAt{};
    ProposalRef leaveProposal; ///< Proposal to leave; unset or gone when there is none under way.
    MonotonicTime drainingSince{}; ///< When draining began; zero before.
    bool joined = false; ///< Whether the log has held this incarnation's join.
    ProposalRef versionProposal; ///< Proposal of a newer record version.
    ProposalRef joinProposal; ///< Proposal to join; unset or gone when there is none under way.
    std::vector<HostRow> hosts; ///< Host list as last read, ordered by name.
    MonotonicTime hostsReceivedAt{}; ///< When it last arrived; zero before the first time.
    bool hostsChecked = false; ///< Whether the last list was compared with the tables.
    absl::flat_hash_map<std::string, MonotonicTime> missingSince; ///< Since when the list omits a host of the tables.
    absl::flat_hash_map<std::string, ProposalRef> hostProposals; ///< Proposals that the host list led to, by host.
    std::deque<TableDigest> digests; ///< Own digests of late, oldest first.
    SnapshotWork snapshot;
};

} // namespace flamingotally
