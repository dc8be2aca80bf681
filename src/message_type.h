/** @file message_type.h Messages between the systems and the outside: what inboxes and outboxes hold. */
#pragma once

#include "command_type.h"
#include "step_type.h"

#include <optional>

namespace flamingotally
{

/** Records read from the log, and what the read proves about its end. */
struct LogRead {
    std::vector<LogEntry> entries; ///< In order, without gaps, from the offset that was asked for.
    std::uint64_t head = 0; ///< Offset that the next record will get.
    std::uint64_t firstRetained = 0; ///< Oldest offset that is still kept.
    MonotonicTime askedAt{}; ///< When the read was sent: the head was not older than that.
    bool failed = false; ///< The log gave no answer; all else is void.
};

/** What is known of an append. */
enum class AppendOutcome : std::uint8_t {
    Stored, ///< The log has it.
    Refused, ///< The log says that it did not take it.
    Unknown, ///< No answer: it may be stored or not.
    End,
};

/** Answer to an append. */
struct AppendResponse {
    std::uint64_t sequence = 0; ///< Sequence of the batch.
    AppendOutcome outcome = AppendOutcome::Unknown;
};

/** Order to a worker to start an attempt. A worker takes an attempt number once. */
struct StartOrder {
    AttemptNumber attempt = 0;
    RequestId request;
    std::uint32_t ordinal = 0;
    Resources held;
    std::string payload;
    WorkerTime notAfter{}; ///< The worker refuses a start that arrives later.
    WorkerTime leaseUntil{}; ///< The worker stops the attempt then, unless renewed.
};

/** Renewal of a lease. */
struct Renewal {
    AttemptNumber attempt = 0;
    WorkerTime leaseUntil{};
};

/** Order to a worker to stop an attempt. */
struct StopOrder {
    AttemptNumber attempt = 0;
    StopCause cause = StopCause::None;
    bool checkpoint = false; ///< Save progress first.
    bool onlyBeforeStart = false; ///< Leaves an attempt that runs alone; one that was not started never will be.
};

/** One exchange with a worker: orders out, a report back. */
struct WorkerSync {
    std::string worker; ///< Name.
    std::string address; ///< "IP:port".
    std::uint64_t bootId = 0; ///< The worker refuses orders meant for another boot; zero to learn its boot.
    std::vector<StartOrder> starts;
    std::vector<Renewal> renewals;
    std::vector<StopOrder> stops;
    std::uint64_t ackedReport = 0; ///< Ends up to this number are in the log and may be forgotten.
    std::uint64_t seenReport = 0; ///< Ends up to this number were seen: the worker waits only when it has no later one.
    Milliseconds wait{0}; ///< The worker may hold its answer this long while it has nothing to report.
};

/** End of an attempt, as reported. */
struct ReportedEnd {
    std::uint64_t report = 0; ///< Number of the report, rising within a boot.
    AttemptEnd end;
};

/** Usage of an attempt, as reported. It lags. */
struct ReportedUsage {
    AttemptNumber attempt = 0;
    Resources used;
};

/** What a worker answers to an exchange. */
struct WorkerReport {
    std::string worker;
    std::uint64_t bootId = 0;
    Resources total;
    WorkerTime clock{}; ///< The worker's clock when it answered.
    MonotonicTime receivedAt{}; ///< This daemon's clock when the answer arrived.
    std::vector<ReportedEnd> ends; ///< All that were not acknowledged yet.
    std::vector<AttemptNumber> active; ///< All attempts that run there.
    std::vector<ReportedUsage> usage;
    bool waited = false; ///< Answers an exchange that had a wait. Filled in by the port, also when it failed.
    bool failed = false; ///< The worker gave no answer; all but its name is void.
};

/** What a daemon tells its peers, some times a second. */
struct Heartbeat {
    std::string daemon;
    std::uint64_t incarnation = 0;
    std::uint64_t head = 0; ///< Offset that it knows to have been the end of the log...
    Milliseconds headAge{0}; ///< ... this long ago.
    std::uint64_t appliedOffset = 0;
    std::uint64_t digestOffset = 0; ///< Offset of the digest below.
    std::uint64_t digest = 0; ///< Digest of its tables at that offset.
    bool leaving = false;
    bool readsLog = false; ///< Whether it reads the log itself at the moment.
    Milliseconds sentAt{0}; ///< Sender's monotonic clock. Means something to the sender only, who gets it back.
    std::uint64_t echoIncarnation = 0; ///< Incarnation that sent the last heartbeat heard from the addressee...
    Milliseconds echoSentAt{0}; ///< ... its sending time, as written there...
    Milliseconds echoDelay{0}; ///< ... and how long ago it arrived. A late heartbeat so shows its age.
    std::uint64_t snapshotRecord = 0; ///< Offset of the record that begins the newest complete snapshot; zero for none.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(daemon, incarnation, head, headAge, appliedOffset, digestOffset, digest, leaving, readsLog);
        visitor(sentAt, echoIncarnation, echoSentAt, echoDelay, snapshotRecord);
    }
};

/** A heartbeat as it arrived. */
struct ReceivedHeartbeat {
    Heartbeat heartbeat;
    MonotonicTime receivedAt{};
};

/** What a host of the platform's list is for. */
enum class HostRole : std::uint8_t {
    Entry,
    Worker,
    End,
};

/** One line of the platform's host list. */
struct HostRow {
    std::string name;
    std::string address; ///< "IP:port".
    std::string domain;
    std::string rack;
    HostRole role = HostRole::Worker;
    bool leaving = false;
};

/** The platform's host list as read. It lags. */
struct HostListRead {
    std::vector<HostRow> hosts;
    bool failed = false;
};

/** Name by which an answer finds its request within the process. */
using RequestHandle = std::uint64_t;

/** A caller submits work. */
struct SubmitAction {
    RequestId request; ///< Unset when the caller gave none.
    std::string name;
    std::string profile;
    Resources perTask;
    std::uint32_t count = 1;
    Milliseconds runEstimate{0};
    std::string payload;
    std::uint64_t bodyDigest = 0;
    Milliseconds waitForEnd{0}; ///< Answer only when the job has ended, or after this time.
};

/** A caller waits for the end of a job submitted before. */
struct WaitAction {
    RequestId request;
    Milliseconds waitForEnd{0};
};

/** A caller cancels a job. */
struct CancelAction {
    RequestId request;
};

/** An operator changes the configuration. The author is filled in by admission. */
struct ConfigAction {
    Command command;
};

using CallerAction = std::variant<SubmitAction, WaitAction, CancelAction, ConfigAction>;

/** A request of a caller or an operator. */
struct CallerRequest {
    RequestHandle handle = 0;
    std::optional<KeyDigest> key; ///< SHA-256 of the bearer key, when there was one.
    CallerAction action;
};

/** Answer to a request. Its body is made by the front from the tables. */
struct CallerResponse {
    RequestHandle handle = 0;
    Reason reason = Reason::None;
    Step step = Step::Answer;
    std::string peer; ///< Where the error arose; empty for this daemon.
    std::string detail; ///< More on the reason, for people.
    Milliseconds retryAfter{0};
    RequestId request; ///< The job, when there is one.
    CommandResult result; ///< Offset and version, for operators' commands.
};

} // namespace flamingotally
