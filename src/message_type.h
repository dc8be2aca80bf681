/** @file message_type.h Messages that the systems exchange with ports through inboxes and outboxes. */
#pragma once

#include "command_type.h"
#include "step_type.h"

#include <optional>

namespace flamingotally
{

/** Records read from the log, with the end of the log at the time of the read. */
struct LogRead {
    std::vector<LogEntry> entries; ///< In order, without gaps, from the requested offset on.
    std::uint64_t head = 0; ///< Offset that the next appended record gets.
    std::uint64_t firstRetained = 0; ///< Oldest offset that the log still retains.
    MonotonicTime requestedAt{}; ///< Time at which the read was sent; the head was current at that time or later.
    bool failed = false; ///< The log did not respond; the other fields are not valid.
};

/** Known outcome of an append. */
enum class AppendOutcome : std::uint8_t {
    Stored, ///< The log has stored the record.
    Refused, ///< The log responded that it did not store the record.
    Unknown, ///< No response: the record may or may not be stored.
    End,
};

/** Response to an append. */
struct AppendResponse {
    std::uint64_t sequence = 0; ///< Sequence number of the batch.
    AppendOutcome outcome = AppendOutcome::Unknown;
};

/** Order to a worker to start an attempt. A worker accepts each attempt number only once. */
struct StartOrder {
    AttemptNumber attempt = 0;
    RequestId request;
    std::uint32_t ordinal = 0;
    Resources reserved; ///< Amounts reserved for the attempt.
    std::string payload;
    WorkerTime notAfter{}; ///< The worker refuses the order if it receives it after this time.
    WorkerTime leaseUntil{}; ///< Lease expiry, at which the worker stops the attempt unless the lease was renewed.
};

/** Renewal of a lease. */
struct Renewal {
    AttemptNumber attempt = 0;
    WorkerTime leaseUntil{}; ///< New lease expiry.
};

/** Order to a worker to stop an attempt. */
struct StopOrder {
    AttemptNumber attempt = 0;
    StopCause cause = StopCause::None;
    bool checkpoint = false; ///< Whether the attempt must save its progress before it stops.
    /** Whether the order only prevents a later start: the worker does not stop an attempt that already runs. */
    bool onlyBeforeStart = false;
};

/** Request to a worker, with the orders for it. The response is a WorkerReport. */
struct WorkerSync {
    std::string worker; ///< Name of the worker.
    std::string address; ///< "IP:port".
    /** Boot of the worker for which the orders are valid: any other boot refuses them. Zero to query the boot. */
    std::uint64_t bootId = 0;
    std::vector<StartOrder> starts;
    std::vector<Renewal> renewals;
    std::vector<StopOrder> stops;
    std::uint64_t ackedReport = 0; ///< Ends up to this number are in the log, so the worker may delete these ends.
    /**
     * Ends up to this number were received: the worker delays its response only while it has no later end to report.
     */
    std::uint64_t seenReport = 0;
    Milliseconds wait{0}; ///< Longest time by which the worker delays its response while it has nothing to report.
};

/** End of an attempt, as reported by a worker. */
struct ReportedEnd {
    std::uint64_t report = 0; ///< Number of the report; increases within a boot.
    AttemptEnd end;
};

/** Resource usage of an attempt, as reported by a worker. The reported amounts lag behind the real usage. */
struct ReportedUsage {
    AttemptNumber attempt = 0;
    Resources used;
};

/** Response of a worker to a WorkerSync. */
struct WorkerReport {
    std::string worker;
    std::uint64_t bootId = 0;
    Resources total;
    WorkerTime clock{}; ///< The worker's clock when it sent the response.
    MonotonicTime receivedAt{}; ///< This daemon's clock when the response arrived.
    std::vector<ReportedEnd> ends; ///< All ends that are not acknowledged yet.
    std::vector<AttemptNumber> active; ///< All attempts that run on the worker.
    std::vector<ReportedUsage> usage;
    bool hadWait = false; ///< Whether the WorkerSync had a wait. Set by the port, also when the exchange failed.
    bool failed = false; ///< The worker did not respond; only `worker` and `hadWait` are valid.
};

/** State that a daemon sends to its peers at each heartbeat interval. */
struct Heartbeat {
    std::string daemon;
    std::uint64_t incarnation = 0;
    std::uint64_t head = 0; ///< Newest end of the log that the sender knows of...
    Milliseconds headAge{0}; ///< ... and the time since that was proven.
    std::uint64_t appliedOffset = 0;
    std::uint64_t digestOffset = 0; ///< Offset that the tables had reached when `digest` was computed.
    std::uint64_t digest = 0; ///< Digest of the sender's tables at `digestOffset`.
    bool leaving = false; ///< Whether the sender is shutting down.
    bool readsLog = false; ///< Whether the sender currently reads from the log itself.
    Milliseconds sentAt{0}; ///< Sending time by the sender's monotonic clock. The receiver only echoes it.
    /** Incarnation of the addressee, as written in the last heartbeat that the sender received from it. */
    std::uint64_t echoIncarnation = 0;
    Milliseconds echoSentAt{0}; ///< Sending time, as written in that heartbeat.
    /**
     * Time since that heartbeat arrived. From the three echo fields the addressee computes the age of this heartbeat.
     */
    Milliseconds echoDelay{0};
    /**
     * Offset of the record with the first part of the newest complete snapshot that the sender knows; zero for none.
     */
    std::uint64_t snapshotRecord = 0;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(daemon, incarnation, head, headAge, appliedOffset, digestOffset, digest, leaving, readsLog);
        visitor(sentAt, echoIncarnation, echoSentAt, echoDelay, snapshotRecord);
    }
};

/** A heartbeat with its time of arrival. */
struct ReceivedHeartbeat {
    Heartbeat heartbeat;
    MonotonicTime receivedAt{};
};

/** Role of a host in the platform's host list. */
enum class HostRole : std::uint8_t {
    Entry, ///< Runs an entry daemon.
    Worker, ///< Runs tasks.
    End,
};

/** One host of the platform's host list. */
struct HostRow {
    std::string name;
    std::string address; ///< "IP:port".
    std::string domain;
    std::string rack;
    HostRole role = HostRole::Worker;
    bool leaving = false; ///< Whether the platform has announced that the host will be removed.
};

/** Result of reading the platform's host list. The list lags behind the real hosts. */
struct HostListRead {
    std::vector<HostRow> hosts;
    bool failed = false; ///< The read failed; the hosts are not valid.
};

/** Id that matches a response to its request within the process. */
using RequestHandle = std::uint64_t;

/** Submission of a job by a caller. */
struct SubmitAction {
    RequestId request; ///< Unset when the caller sent no id.
    std::string name;
    std::string profile;
    Resources perTask;
    std::uint32_t count = 1;
    Milliseconds runEstimate{0};
    std::string payload;
    std::uint64_t bodyDigest = 0;
    /** Longest time to delay the response until the job has ended; zero to respond at once. */
    Milliseconds waitForEnd{0};
};

/** Request to wait for the end of a job that was submitted before. */
struct WaitAction {
    RequestId request;
    Milliseconds waitForEnd{0}; ///< Longest time to wait.
};

/** Cancellation of a job by a caller. */
struct CancelAction {
    RequestId request;
};

/** Change of the configuration by an operator. Admission fills in the author of the command. */
struct ConfigAction {
    Command command;
};

using CallerAction = std::variant<SubmitAction, WaitAction, CancelAction, ConfigAction>;

/** Request of a caller or an operator, with the key that it presented. */
struct CallerRequest {
    RequestHandle handle = 0;
    std::optional<KeyDigest> key; ///< SHA-256 of the bearer key; unset when the request had none.
    CallerAction action;
};

/** Response to a request. The HTTP front end makes its body from the tables. */
struct CallerResponse {
    RequestHandle handle = 0;
    Reason reason = Reason::None;
    Step step = Step::Answer; ///< Step at which the request was refused.
    std::string peer; ///< Peer at which the error occurred; empty for this daemon.
    std::string detail; ///< Details of the reason, for people.
    Milliseconds retryAfter{0}; ///< Time after which the caller may retry; zero for none.
    RequestId request; ///< Id of the job; unset when the response concerns none.
    CommandResult result; ///< Result of the command, with offset and version for operators' commands.
};

} // namespace flamingotally
