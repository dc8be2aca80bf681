#include "net/front_read.h"

#include "codec/view_codec.h"
#include "table/job_table.h"
#include "table/reason_table.h"
#include "table/route_table.h"

#include <fmt/format.h>

namespace flamingotally
{

namespace
{

constexpr std::uint64_t maxHistoryRows = 10'000; ///< Greatest value of the query parameter `most`.
constexpr std::size_t maxListedJobs = 1'000; ///< Further open jobs are left out of a list.

/** Makes the response to a request that is refused. */
HttpResponse refused(Reason reason, std::string detail = {})
{
    HttpError error;
    error.reason = reason;
    error.step = Step::Answer;
    error.detail = std::move(detail);
    return makeErrorResponse(error);
}

HttpResponse ok(std::string body)
{
    HttpResponse response;
    response.body = std::move(body);
    return response;
}

/** Returns the job that the path names; unset if the id is malformed or the job is unknown. */
JobRef jobOf(const Node &node, const RouteMatch &match)
{
    const auto id = parseRequestId(match.subject);
    return id ? findJob(node.tables, *id) : JobRef{};
}

/** Checks access to a job; an unknown job passes, because showing it fails with its own error. */
Reason checkJobReader(const ReadContext &context, JobRef job)
{
    const auto &tables = context.node.tables;
    if (!tables.jobs.contains(job) || tables.jobs.get<JobSpec>(job).profileSpec.access == QueueAccess::Open) {
        return Reason::None;
    }
    if (context.rights.reason != Reason::None || context.rights.isOperator()) {
        return context.rights.reason;
    }
    const bool isOwnTeam = context.rights.team == tables.jobs.get<JobIdentity>(job).team;
    return isOwnTeam ? Reason::None : Reason::KeyLacksRole;
}

HttpResponse listJobs(const ReadContext &context, const ViewAge &age)
{
    const auto &tables = context.node.tables;
    std::vector<JobView> views;
    for (const auto it : findOpenJobs(tables, context.rights.team)) {
        if (views.size() == maxListedJobs) {
            break;
        }
        views.push_back(viewJob(tables, it));
        views.back().tasks.clear();
    }
    return ok(encodeJobs(views, age));
}

HttpResponse explain(const ReadContext &context, const RouteMatch &match, const ViewAge &age)
{
    const auto job = jobOf(context.node, match);
    if (!job.isSet()) {
        return refused(Reason::JobUnknown);
    }
    const auto &tables = context.node.tables;
    return ok(encodeExplain(explainJob(tables, job, tables.position.time), age));
}

HttpResponse showProfile(const Tables &tables, const RouteMatch &match, const ViewAge &age)
{
    const auto nameOfView = [](const ProfileView &it) -> const std::string & {
        return it.identity.name;
    };
    const auto view = findView(viewProfiles(tables), match.subject, nameOfView);
    return view ? ok(encodeProfile(*view, age)) : refused(Reason::ProfileUnknown);
}

HttpResponse showTeam(const Tables &tables, const RouteMatch &match, const ViewAge &age)
{
    const auto view = findView(viewTeams(tables), match.subject, &TeamView::name);
    return view ? ok(encodeTeam(*view, age)) : refused(Reason::TeamUnknown);
}

HttpResponse showHistory(const Tables &tables, const HttpRequest &request, const ViewAge &age)
{
    HistoryFilter filter;
    filter.subject = std::string(fieldValue(request.query, "subject"));
    const auto maxChanges = queryNumber(request, "most", maxHistoryRows, filter.maxChanges);
    if (!maxChanges) {
        return makeErrorResponse(malformedRequest("query parameter 'most': expected a whole number from 0 to 10000"));
    }
    filter.maxChanges = static_cast<std::uint32_t>(*maxChanges);
    return ok(encodeHistory(viewHistory(tables, filter), age));
}

HttpResponse showTop(const ReadContext &context, const ViewAge &age)
{
    const auto &tables = context.node.tables;
    return ok(encodeTop({viewTeams(tables),
                         viewDomains(tables),
                         viewDaemons(context.node, context.now),
                         viewProfiles(tables),
                         context.node.counters},
                        age));
}

HttpResponse showReadiness(const Node &node, const ViewAge &age)
{
    switch (node.phase) {
    case NodePhase::CatchingUp:
        return refused(Reason::CatchingUp);
    case NodePhase::Serving:
        return ok(encodeStatus(viewStatus(node), age));
    default:
        return refused(Reason::Draining);
    }
}

} // namespace

Reason checkAccess(const ReadContext &context, const RouteMatch &match)
{
    switch (rowOf(routeTable, match.route).access) {
    case Access::JobReader:
        return checkJobReader(context, jobOf(context.node, match));
    case Access::KeyHolder:
        return context.rights.reason;
    case Access::Operator: {
        const bool isKnown = context.rights.reason == Reason::None;
        return isKnown && !context.rights.isOperator() ? Reason::KeyLacksRole : context.rights.reason;
    }
    default:
        return Reason::None;
    }
}

HttpResponse showJob(const ReadContext &context, const RequestId &id, unsigned status)
{
    const auto &tables = context.node.tables;
    if (const auto job = findJob(tables, id); job.isSet()) {
        auto response = ok(encodeJob(viewJob(tables, job), viewAgeOf(context.node, context.now)));
        response.status = status;
        return response;
    }
    const auto request = findRef(tables.lookups.requests, id);
    if (!request.isSet()) {
        return refused(Reason::JobUnknown);
    }
    const auto outcome = nameOf(outcomeTable, tables.requests.get<RequestRecord>(request).outcome);
    return refused(Reason::ResultExpired, fmt::format("The job ended as {} and is no longer retained.", outcome));
}

HttpResponse readRoute(const ReadContext &context, const RouteMatch &match, const HttpRequest &request)
{
    const auto &node = context.node;
    const auto age = viewAgeOf(node, context.now);
    switch (match.route) {
    case Route::ListJobs:
        return listJobs(context, age);
    case Route::ExplainJob:
        return explain(context, match, age);
    case Route::ListProfiles:
        return ok(encodeProfiles(viewProfiles(node.tables), age));
    case Route::ShowProfile:
        return showProfile(node.tables, match, age);
    case Route::ListTeams:
        return ok(encodeTeams(viewTeams(node.tables), age));
    case Route::ShowTeam:
        return showTeam(node.tables, match, age);
    case Route::ListKeys:
        return ok(encodeKeys(viewKeys(node.tables), age));
    case Route::ListDomains:
        return ok(encodeDomains(viewDomains(node.tables), age));
    case Route::ListWorkers:
        return ok(encodeWorkers(viewWorkers(node.tables), age));
    case Route::ListDaemons:
        return ok(encodeDaemons(viewDaemons(node, context.now), age));
    case Route::ShowHistory:
        return showHistory(node.tables, request, age);
    case Route::ShowTop:
        return showTop(context, age);
    case Route::ShowReadiness:
        return showReadiness(node, age);
    default:
        return ok(encodeStatus(viewStatus(node), age));
    }
}

} // namespace flamingotally
