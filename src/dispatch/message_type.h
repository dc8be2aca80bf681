/** @file message_type.h Messages between the systems of dispatch and the outside. */
#pragma once

#include "dispatch/job_type.h"
#include "dispatch/journal_type.h"
#include "dispatch/queue_type.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingotally::dispatch
{

/** The configuration as read; only what has changed is set. */
struct ConfigRead {
    std::optional<Configuration> configuration;
    std::optional<DomainsOut> domainsOut;
    MonotonicTime askedAt{}; ///< What was in force before this time is known now.
    bool failed = false; ///< No answer; all else is void.
};

/** What a worker says of itself. */
struct WorkerListing {
    std::string id; ///< One life of a machine, unless it starts again under its id.
    std::string address; ///< "IP:port".
    std::string pool;
    std::string domain;
    std::string rack;
    std::vector<std::string> labels; ///< Its kind and its rack.
    Resources capacity;
    bool draining = false;
    Milliseconds remaining{0}; ///< While draining: least time that is left.
    bool removed = false; ///< The entry is gone; all but the id is void.
};

/** Changes of the list of workers. */
struct WorkerListRead {
    std::vector<WorkerListing> changes;
    bool whole = false; ///< Holds every entry: what is missing is gone.
};

/** A run as its worker lists it. */
struct RunningRow {
    TaskName task;
    RunNumber run = 0;
    std::string checkpoint; ///< Last saved progress; empty for none.
    std::uint32_t percent = 0; ///< Work done, or 100 when an endless task is at work.
};

/** An end as its worker lists it. */
struct EndRow {
    std::uint64_t number = 0; ///< Rises within one life of the worker.
    TaskName task;
    RunNumber run = 0;
    RunEnd how = RunEnd::Failed;
    std::string checkpoint;
};

/** Asks a worker for its lists, renews its lease and acknowledges ends. */
struct PollOrder {
    WorkerRef worker;
    std::string id;
    std::string address;
    Token token = 0;
    WorkerTime leaseUntil{}; ///< Zero for no renewal.
    std::uint64_t acknowledged = 0; ///< Ends up to this number are stored.
    Milliseconds wait{0}; ///< The worker may wait this long for an end.
};

/** What became of an order to a worker. */
enum class OrderResult : std::uint8_t {
    Accepted,
    Fenced, ///< The worker has seen a higher token.
    Superseded, ///< A run not lower was stopped or ended there.
    Late, ///< Its lease time has passed.
    NoCapacity,
    NoTicket, ///< The ticket is missing, expired or of another life.
    Malformed,
    Unhealthy, ///< The worker has done nothing.
    WorkerReplaced, ///< Another worker answers at the address.
    NeverSent,
    NoResponse, ///< It may be carried out now, later or never.
    End,
};

/** Answer to a PollOrder. */
struct PollResponse {
    WorkerRef worker;
    Token token = 0; ///< Token of the order.
    OrderResult result = OrderResult::NoResponse;
    WorkerTime clock{}; ///< The worker's clock when it answered.
    std::uint64_t incarnation = 0; ///< Changes when the worker starts again.
    std::vector<RunningRow> running;
    std::vector<EndRow> ended;
    MonotonicTime sentAt{};
    MonotonicTime receivedAt{};
};

/** Starts a run. */
struct StartOrder {
    RunRef run;
    TaskName task;
    RunNumber number = 0;
    std::string id; ///< Of the worker.
    std::string address;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    Token token = 0;
    WorkerTime leaseUntil{};
};

/** Stops a run; one that is not there yet will be rejected. */
struct StopOrder {
    RunRef run;
    WorkerRef worker; ///< Set for runs that only the worker's list names.
    TaskName task;
    RunNumber number = 0;
    std::string id;
    std::string address;
    Token token = 0;
};

/** Which order an answer belongs to. */
enum class OrderKind : std::uint8_t {
    Start,
    Stop,
    End,
};

/** Answer to a start or a stop. */
struct OrderResponse {
    OrderKind kind = OrderKind::Start;
    RunRef run;
    Token token = 0;
    OrderResult result = OrderResult::NoResponse;
    MonotonicTime sentAt{};
    MonotonicTime receivedAt{};
};

/** Asks the policy service which workers may run a step. */
struct AdviceRequest {
    std::uint64_t number = 0; ///< Tells answers apart.
    std::string relay; ///< "IP:port" of the daemon that is to ask; empty for this one.
    TaskName step; ///< Its index means nothing.
    std::vector<std::string> workers;
    Milliseconds timeout{0};

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(number, step.job, step.occurrence, step.step, workers, timeout);
    }
};

/** A worker that may run the step. */
struct AdviceRow {
    std::string worker;
    std::string ticket;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(worker, ticket);
    }
};

/** Answer of the policy service. */
struct AdviceResponse {
    std::uint64_t number = 0;
    bool failed = true;
    std::vector<AdviceRow> granted;
    MonotonicTime askedAt{}; ///< When the question was sent: tickets are counted from then.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(number, failed, granted);
    }
};

/** Name by which an answer finds its request within the process. */
using CallHandle = std::uint64_t;

/** What a caller wants. */
enum class CallVerb : std::uint8_t {
    Submit,
    Query,
    Cancel,
    Count, ///< Waiting jobs of a queue.
    End,
};

/** A request of a caller. */
struct CallerCall {
    CallHandle handle = 0;
    CallVerb verb = CallVerb::Query;
    std::string host;
    std::string path;
    std::optional<KeyDigest> key; ///< SHA-256 of the bearer key, when there was one.
    std::optional<JobSpec> spec; ///< Of a submission; unset when its body is malformed.
    MonotonicTime receivedAt{};
    MonotonicTime answerBy{}; ///< Latest time at which an answer is still of use.
};

/** Kind of answer. */
enum class CallResult : std::uint8_t {
    Done,
    UnknownQueue,
    UnknownKey,
    UnknownJob,
    Malformed, ///< The request can never be accepted as it is.
    NotRun, ///< It was not and will not be executed; its caller may send it again later.
    Undecided, ///< It may have been executed.
    End,
};

/** Answer to a caller. */
struct CallerResponse {
    CallHandle handle = 0;
    CallVerb verb = CallVerb::Query;
    CallResult result = CallResult::Done;
    JobId job = 0;
    JobPhase phase = JobPhase::Queued; ///< For queries.
    std::uint64_t waiting = 0; ///< For counts.
    Milliseconds retryAfter{0};
    std::string_view cause; ///< Static text for the log.
};

} // namespace flamingotally::dispatch
