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

constexpr Milliseconds fetchTimeout{30'000};

/** A result on its way to its caller. */
struct WantedResult {
    RequestId id;
    TaskView task;
};

HttpResponse refused(Reason reason, const WantedResult &wanted, std::string peer = {}, std::string detail = {})
{
    HttpError error;
    error.reason = reason;
    error.step = Step::FetchResult;
    error.peer = std::move(peer);
    error.detail = std::move(detail);
    error.id = toString(wanted.id);
    return makeErrorResponse(error);
}

HttpResponse toResponse(const WantedResult &wanted, std::string body)
{
    const auto &result = wanted.task.result;
    const bool isWhole = body.size() == result.length && (body.empty() || digestOfBytes(body) == result.digest);
    if (!isWhole) {
        return refused(Reason::ResultTruncated, wanted, result.heldBy);
    }
    HttpResponse response;
    response.contentType = "application/octet-stream";
    response.fields.push_back({"X-Outcome", std::string(nameOf(outcomeTable, wanted.task.outcome))});
    response.fields.push_back({"X-Digest-Xxh3", fmt::format("{:016x}", result.digest)});
    response.body = std::move(body);
    return response;
}

HttpResponse toResponse(const WantedResult &wanted, HttpResult fetched)
{
    constexpr unsigned httpOk = 200;
    constexpr unsigned httpNotFound = 404;
    const auto &worker = wanted.task.result.heldBy;
    if (!fetched.ok()) {
        const auto reason = wasNeverSent(fetched.status()) ? Reason::WorkerUnreachable : Reason::ResultTruncated;
        return refused(reason, wanted, worker, std::string(fetched.status().message()));
    }
    if (fetched->status == httpNotFound) {
        return refused(Reason::ResultExpired, wanted, worker);
    }
    return fetched->status == httpOk ? toResponse(wanted, std::move(fetched->body))
                                     : refused(Reason::WorkerUnreachable, wanted, worker);
}

HttpCall callOf(const std::string &address, const WantedResult &wanted)
{
    HttpCall call;
    call.address = address;
    call.target = fmt::format("/v1/results/{}", wanted.task.result.attempt);
    call.timeout = fetchTimeout;
    call.maxResponseBytes = maxResultBytes;
    call.step = Step::FetchResult;
    return call;
}

/** Address of a worker; empty when it is gone. */
std::string addressOf(const Tables &tables, const std::string &worker)
{
    const auto ref = findRef(tables.lookups.workers, worker);
    return ref.isSet() ? tables.workers.get<WorkerIdentity>(ref).address : std::string();
}

/** Finds the task whose result is wanted. */
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
        const bool isJobKnown = findJob(context.node.tables, *id).isSet();
        respond(isJobKnown ? refused(Reason::TaskUnknown, {*id, {}}) : showJob(context, *id, 0));
        return;
    }
    const WantedResult wanted{*id, *task};
    const auto &result = wanted.task.result;
    if (wanted.task.phase != TaskPhase::Ended) {
        respond(refused(Reason::ResultNotReady, wanted));
        return;
    }
    if (result.heldBy.empty()) {
        const bool isEmptyFailure = result.length == 0 && wanted.task.outcome != Outcome::Succeeded;
        const auto outcome = fmt::format("The task has ended as {}.", nameOf(outcomeTable, wanted.task.outcome));
        respond(isEmptyFailure ? refused(Reason::JobEnded, wanted, {}, outcome) : toResponse(wanted, result.body));
        return;
    }
    const auto address = addressOf(context.node.tables, result.heldBy);
    if (address.empty()) {
        respond(refused(Reason::ResultExpired, wanted, result.heldBy));
        return;
    }
    send(callOf(address, wanted), [wanted, respond = std::move(respond)](HttpResult fetched) {
        respond(toResponse(wanted, std::move(fetched)));
    });
}

} // namespace flamingotally
