#include "net/front.h"

#include "codec/view_codec.h"
#include "net/front_result.h"
#include "node_func.h"
#include "table/reason_table.h"
#include "table/route_table.h"

namespace flamingotally
{

namespace
{

constexpr unsigned httpOk = 200;
constexpr unsigned httpAccepted = 202;
constexpr unsigned httpNotFound = 404;
constexpr unsigned httpMethodNotAllowed = 405;

std::optional<KeyDigest> digestOfBearer(const HttpRequest &request)
{
    return request.bearer.empty() ? std::nullopt : std::optional(digestOfKey(request.bearer));
}

HttpError errorOf(RouteFault fault)
{
    auto error = malformedRequest(fault == RouteFault::WrongMethod ? "This path does not allow the method."
                                                                   : "The path is unknown.");
    error.status = fault == RouteFault::WrongMethod ? httpMethodNotAllowed : httpNotFound;
    return error;
}

HttpError errorOf(const CallerResponse &response)
{
    HttpError error;
    error.reason = response.reason;
    error.step = response.step;
    error.peer = response.peer;
    error.detail = response.detail;
    error.retryAfter = response.retryAfter;
    error.id = response.request.isSet() ? toString(response.request) : std::string();
    return error;
}

/** Returns whether a tick must produce the response, because the request changes something or waits for a job's end. */
bool needsTick(const RouteMatch &match, const HttpRequest &request)
{
    const bool isWaitForEnd = match.route == Route::ShowJob && !fieldValue(request.query, "waitMs").empty();
    return isWaitForEnd || rowOf(routeTable, match.route).access == Access::Admission;
}

} // namespace

void Front::handle(const HttpRequest &request, HttpResponder respond)
{
    const auto [fault, match] = findRoute(request.method, request.path);
    if (fault != RouteFault::None) {
        refuse(errorOf(fault), respond);
        return;
    }
    const auto context = contextOf(rightsOf(m_node.tables, m_node.settings, digestOfBearer(request)));
    if (const auto reason = checkAccess(context, match); reason != Reason::None) {
        refuse({reason, Step::Authenticate}, respond);
        return;
    }
    if (needsTick(match, request)) {
        enqueue(match, request, std::move(respond));
        return;
    }
    switch (match.route) {
    case Route::ShowJob: {
        const auto id = parseRequestId(match.subject);
        respond(id ? showJob(context, *id, httpOk) : makeErrorResponse({Reason::RequestIdMalformed}));
        return;
    }
    case Route::ShowResult:
        showResult(context, match, request, m_ports.send, std::move(respond));
        return;
    case Route::ShowMetrics:
        respond({httpOk, std::string(Metrics::contentType), {}, m_metrics.serialize(m_node, m_ports.now())});
        return;
    default:
        respond(readRoute(context, match, request));
    }
}

/** Puts the action of a request into the inbox; an invalid request is refused at once. */
void Front::enqueue(const RouteMatch &match, const HttpRequest &request, HttpResponder respond)
{
    auto result = toAction(match, request);
    if (const auto *error = std::get_if<HttpError>(&result)) {
        refuse(*error, respond);
        return;
    }
    const auto handle = ++m_lastHandle;
    m_pending[handle] = {match.route, std::move(respond)};
    m_node.inbox.callerRequests.push_back({handle, digestOfBearer(request), std::get<CallerAction>(std::move(result))});
    m_ports.wake();
}

void Front::sendResponse(const CallerResponse &response)
{
    const auto it = m_pending.find(response.handle);
    if (it == m_pending.end()) {
        return;
    }
    const auto pending = std::move(it->second);
    m_pending.erase(it);
    pending.respond(toResponse(pending.route, response));
}

/** Counts a refusal and responds with its error. */
void Front::refuse(const HttpError &error, const HttpResponder &respond)
{
    countRefusal(m_node, error.reason);
    respond(makeErrorResponse(error));
}

/** Converts the response of a tick into an HTTP response. For a repeated request the response also shows the job. */
HttpResponse Front::toResponse(Route route, const CallerResponse &response) const
{
    if (response.reason != Reason::None && response.reason != Reason::RequestRepeated) {
        return makeErrorResponse(errorOf(response));
    }
    const auto context = contextOf({});
    switch (route) {
    case Route::SubmitJob:
    case Route::CancelJob: {
        const auto job = findJob(m_node.tables, response.request);
        const bool isOpen = job.isSet() && m_node.tables.jobs.get<JobState>(job).outcome == Outcome::None;
        return showJob(context, response.request, isOpen ? httpAccepted : httpOk);
    }
    case Route::ShowJob:
        return showJob(context, response.request, httpOk);
    default:
        return {httpOk, "application/json", {}, encodeChange(response.result, viewAgeOf(m_node, m_ports.now()))};
    }
}

ReadContext Front::contextOf(const BearerRights &rights) const
{
    return {m_node, m_ports.now(), rights};
}

} // namespace flamingotally
