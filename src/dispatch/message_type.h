/** @file message_type.h Messages between the systems of dispatch and the platform, workers and callers. */
#pragma once

#include "dispatch/job_type.h"
#include "dispatch/journal_type.h"
#include "dispatch/queue_type.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingotally::dispatch
{

/** Response to a read of the configuration; only parts that have changed are set. */
struct ConfigRead {
    std::optional<Configuration> configuration;
    std::optional<DomainsOut> domainsOut;
    MonotonicTime
        sentAt{}; ///< When the read was sent; the read includes everything that was in effect before this time.
    bool failed = false; ///< The read failed; no other field is valid.
};

/** A worker's entry in the list of workers. */
struct WorkerListing {
    std::string id; ///< Usually one id for each incarnation of a machine; but a worker may restart under the same id.
    std::string address; ///< "IP:port".
    std::string pool;
    std::string domain;
    std::string rack;
    std::vector<std::string> labels; ///< Kind and rack of the worker.
    Resources capacity;
    bool draining = false; ///< The worker will be removed.
    Milliseconds remaining{0}; ///< While draining: minimum time that is left until the worker is removed.
    bool removed = false; ///< The entry was removed or cannot be used; only `id` and `expected` are valid.
    std::string expected; ///< For an entry that cannot be used, of which `id` may have any bytes: what was expected.
};

/** Response to a read of the list of workers. */
struct WorkerListRead {
    MonotonicTime sentAt{}; ///< The list is complete as of this time; zero if further changes are known to be unread.
    std::vector<WorkerListing> changes;
    bool isSnapshot = false; ///< Contains every entry of the list, so entries that are missing were removed.
};

/** A running run, as its worker reports it. */
struct RunningRow {
    TaskName task;
    RunNumber run = 0;
    std::string checkpoint; ///< Last checkpoint; empty for none.
    std::uint32_t percent = 0; ///< Percentage of the work that is done; 100 for an endless task that is working.
};

/** The end of a run, as its worker reports it. */
struct EndRow {
    std::uint64_t number = 0; ///< Sequence number of the run end; increases within one incarnation of the worker.
    TaskName task;
    RunNumber run = 0;
    RunEnd how = RunEnd::Failed;
    std::string checkpoint; ///< Last checkpoint; empty for none.
};

/** Order that asks a worker for its running and ended runs, renews its lease, and acknowledges run ends. */
struct PollOrder {
    WorkerRef worker;
    std::string id; ///< Id of the worker.
    std::string address; ///< "IP:port" of the worker.
    Token token = 0; ///< Fencing token of the owner.
    WorkerTime leaseUntil{}; ///< New lease expiry by the worker's clock; zero for no renewal.
    std::uint64_t acknowledged = 0; ///< Run ends up to this sequence number are stored in the journal.
    /**
     * If not zero: the connection on which the incarnation was seen whose run ends are acknowledged. The order is sent
     * on it or not at all, as another incarnation would take the number for one of its own run ends.
     */
    std::uint64_t connection = 0;
    Milliseconds wait{0}; ///< How long the worker may wait for a run to end before it responds.
    Milliseconds timeout{0}; ///< How long to wait for the response.
};

/** Outcome of an order to a worker. */
enum class OrderResult : std::uint8_t {
    Accepted,
    Fenced, ///< The worker has seen a higher token.
    Superseded, ///< On this worker a run of the task with the same or a higher number was stopped or has ended.
    Late, ///< The lease in the order has already expired.
    NoCapacity,
    NoTicket, ///< The ticket is missing, has expired, or is for another incarnation of the worker.
    Malformed,
    Unhealthy, ///< The worker reports itself unhealthy and has not executed the order.
    WorkerReplaced, ///< Another worker responds at the address.
    NeverSent, ///< The order did not leave this host.
    ConnectionClosed, ///< The order was not sent, as PollOrder::connection is closed.
    NoResponse, ///< The order may be executed now, later or never.
    End,
};

/** Response to a PollOrder. */
struct PollResponse {
    WorkerRef worker;
    Token token = 0; ///< Token of the order.
    OrderResult result = OrderResult::NoResponse;
    WorkerTime clock{}; ///< Reading of the worker's clock when it responded.
    std::uint64_t incarnation = 0; ///< Changes when the worker restarts.
    std::uint64_t connection = 0; ///< Connection on which the response arrived.
    std::vector<RunningRow> running;
    std::vector<EndRow> ended;
    bool hasMalformedRows = false; ///< The report had rows that were skipped.
    /** Highest number in the rows of `ended`, also in those that were skipped; zero for none. */
    std::uint64_t lastEndNumber = 0;
    bool hasMoreEnds = false; ///< `ended` was cut off: the worker lists further ends once these are acknowledged.
    MonotonicTime sentAt{};
    MonotonicTime receivedAt{};
};

/** Order to start a run. */
struct StartOrder {
    RunRef run;
    TaskName task;
    RunNumber number = 0; ///< Number of the run.
    std::string id; ///< Id of the worker.
    std::string address; ///< "IP:port" of the worker.
    std::string payload;
    std::string checkpoint; ///< Checkpoint to resume from; empty for none.
    std::string ticket; ///< Ticket of the policy service; empty for none.
    Token token = 0; ///< Fencing token of the owner.
    WorkerTime leaseUntil{}; ///< Lease expiry by the worker's clock.
    Milliseconds timeout{0}; ///< How long to wait for the response.
};

/** Order to stop a run. If the run has not started on the worker yet, its start order is rejected when it arrives. */
struct StopOrder {
    RunRef run; ///< Unset for a run that only the worker's report names.
    WorkerRef worker;
    TaskName task;
    RunNumber number = 0; ///< Number of the run.
    std::string id; ///< Id of the worker.
    std::string address; ///< "IP:port" of the worker.
    Token token = 0;
    Milliseconds timeout{0}; ///< How long to wait for the response.
};

/** Kind of order that a response belongs to. */
enum class OrderKind : std::uint8_t {
    Start,
    Stop,
    End,
};

/** Response to a StartOrder or a StopOrder. */
struct OrderResponse {
    OrderKind kind = OrderKind::Start;
    RunRef run;
    Token token = 0;
    OrderResult result = OrderResult::NoResponse;
    MonotonicTime sentAt{};
    MonotonicTime receivedAt{};
};

/** Request to the policy service: which workers may run a step. */
struct AdviceRequest {
    std::uint64_t number = 0; ///< Identifies the response.
    std::string relay; ///< "IP:port" of the daemon that forwards the request to the service; empty to send it directly.
    TaskName step; ///< Name of any task of the step; its index is ignored.
    std::vector<std::string> workers; ///< Ids of the workers to decide on.
    Milliseconds timeout{0}; ///< How long to wait for the response.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(number, step.job, step.occurrence, step.step, workers, timeout);
    }
};

/** A worker that may run the step, with its ticket. */
struct AdviceRow {
    std::string worker;
    std::string ticket;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(worker, ticket);
    }
};

/** Response of the policy service. */
struct AdviceResponse {
    std::uint64_t number = 0; ///< Number of the request.
    bool failed = true; ///< The service sent no response or a malformed one; `granted` is empty.
    std::vector<AdviceRow> granted; ///< The workers that may run the step; the others of the request may not.
    MonotonicTime sentAt{}; ///< When the request was sent; the validity of the tickets counts from then.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(number, failed, granted);
    }
};

/** Handle that matches a response to its request within the process. */
using CallHandle = std::uint64_t;

/** Operation that a caller requests. */
enum class CallVerb : std::uint8_t {
    Submit,
    Query,
    Cancel,
    Count, ///< Counts the waiting jobs of a queue.
    End,
};

/** A request of a caller. */
struct CallerCall {
    CallHandle handle = 0;
    CallVerb verb = CallVerb::Query;
    std::string host;
    std::string path;
    std::optional<KeyDigest> key; ///< SHA-256 of the bearer key, when there was one.
    std::optional<JobSpec> spec; ///< Set for a submission, unless its body is malformed.
    MonotonicTime receivedAt{};
    MonotonicTime deadline{}; ///< Deadline of the caller.
};

/** Outcome of a caller's request. */
enum class CallResult : std::uint8_t {
    Done,
    UnknownQueue,
    UnknownKey,
    UnknownJob,
    Malformed, ///< The request cannot be accepted however often it is repeated.
    NotRun, ///< The request was not and will not be executed; its caller may retry later.
    Undecided, ///< The request may have been executed.
    End,
};

/** Response to a caller. */
struct CallerResponse {
    CallHandle handle = 0;
    CallVerb verb = CallVerb::Query;
    CallResult result = CallResult::Done;
    JobId job = 0;
    JobPhase phase = JobPhase::Queued; ///< State of the job, for CallVerb::Query.
    std::uint64_t jobsWaiting = 0; ///< Number of waiting jobs, for CallVerb::Count.
    Milliseconds retryAfter{0}; ///< Time after which the caller may retry; zero for none.
    std::string_view cause; ///< Static text for the log and the caller.
};

} // namespace flamingotally::dispatch
