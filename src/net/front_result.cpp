#include "net/front_result.h"

#include "core/digest.h"
#include "core/error.h"
#include "query_func.h"
#include "table/job_table.h"

#include <fmt/format.h>

namespace flamingotally
{

namespace
{

constexpr Milliseconds fetchTimeout{30'000}; ///< For fetching a result from a worker.

/** The task whose result was requested, and its job. */
struct RequestedResult {
    RequestId id;
    TaskView task;
};

HttpResponse refused(Reason reason, const RequestedResult &requested, std::string peer = {}, std::string detail = {})
{
    HttpError error;
    error.reason = reason;
    error.step = Step::FetchResult;
    error.peer = std::move(peer);
    error.detail = std::move(detail);
    error.id = toString(requested.id);
    return makeErrorResponse(error);
}

/** Makes the response with a result; an error if the body does not have the length and the digest of the result. */
HttpResponse toResponse(const RequestedResult &requested, std::string body)
{
    const auto &result = requested.task.result;
    const bool isComplete = body.size() == result.length && (body.empty() || digestOfBytes(body) == result.digest);
    if (!isComplete) {
        return refused(Reason::ResultTruncated, requested, result.storedBy);
    }
    HttpResponse response;
    response.contentType = "application/octet-stream";
    response.fields.push_back({"X-Outcome", std::string(nameOf(outcomeTable, requested.task.outcome))});
    response.fields.push_back({"X-Digest-Xxh3", fmt::format("{:016x}", result.digest)});
    response.body = std::move(body);
    return response;
}

HttpResponse toResponse(const RequestedResult &requested, HttpResult fetched)
{
    constexpr unsigned httpOk = 200;
    constexpr unsigned httpNotFound = 404;
    const auto &worker = requested.task.result.storedBy;
    if (!fetched.ok()) {
        const auto reason = wasNeverSent(fetched.status()) ? Reason::WorkerUnreachable : Reason::ResultTruncated;
        return refused(reason, requested, worker, std::string(fetched.status().message()));
    }
    if (fetched->status == httpNotFound) {
        return refused(Reason::ResultExpired, requested, worker);
    }
    return fetched->status == httpOk ? toResponse(requested, std::move(fetched->body))
                                     : refused(Reason::WorkerUnreachable, requested, worker);
}

HttpCall callOf(const std::string &address, const RequestedResult &requested)
{
    HttpCall call;
    call.address = address;
    call.target = fmt::format("/v1/results/{}", requested.task.result.attempt);
    call.timeout = fetchTimeout;
    call.maxResponseBytes = maxResultBytes;
    call.step = Step::FetchResult;
    return call;
}

/** Returns the address of a worker; empty if the worker is no longer in the tables. */
std::string addressOf(const Tables &tables, const std::string &worker)
{
    const auto ref = findRef(tables.lookups.workers, worker);
    return ref.isSet() ? tables.workers.get<WorkerIdentity>(ref).address : std::string();
}

/** Finds a task by the id of its job and its ordinal in the job; nullopt if the job or the task is unknown. */
std::optional<TaskView> findTask(const ReadContext &context, const RequestId &id, std::uint64_t ordinal)
{
    const auto job = findJob(context.node.tables, id);
    if (!job.isSet()) {
        return std::nullopt;
    }
    const auto view = viewJob(context.node.tables, job);
    return ordinal < view.tasks.size() ? std::optional(view.tasks[ordinal]) : std::nullopt;
}

} // namespace

void showResult(const ReadContext &context,
                const RouteMatch &match,
                const HttpRequest &request,
                const std::function<void(HttpCall, HttpCallback)> &send,
                HttpResponder respond)
{
    const auto id = parseRequestId(match.subject);
    const auto ordinal = queryNumber(request, "task", UINT32_MAX, 0);
    if (!id || !ordinal) {
        respond(makeErrorResponse({id ? Reason::MalformedRequest : Reason::RequestIdMalformed}));
        return;
    }
    const auto task = findTask(context, *id, *ordinal);
    if (!task) {
        // For an unknown job, showJob() makes the error response; the status 0 is not used.
        const bool isJobKnown = findJob(context.node.tables, *id).isSet();
        respond(isJobKnown ? refused(Reason::TaskUnknown, {*id, {}}) : showJob(context, *id, 0));
        return;
    }
    const RequestedResult requested{*id, *task};
    const auto &result = requested.task.result;
    if (requested.task.phase != TaskPhase::Ended) {
        respond(refused(Reason::ResultNotReady, requested));
        return;
    }
    if (result.storedBy.empty()) {
        const bool isEmptyFailure = result.length == 0 && requested.task.outcome != Outcome::Succeeded;
        const auto outcome = fmt::format("The task ended as {}.", nameOf(outcomeTable, requested.task.outcome));
        respond(isEmptyFailure ? refused(Reason::JobEnded, requested, {}, outcome)
                               : toResponse(requested, result.body));
        return;
    }
    const auto address = addressOf(context.node.tables, result.storedBy);
    if (address.empty()) {
        respond(refused(Reason::ResultExpired, requested, result.storedBy));
        return;
    }
    send(callOf(address, requested), [requested, respond = std::move(respond)](HttpResult fetched) {
        respond(toResponse(requested, std::move(fetched)));
    });
}

} // namespace flamingotally
