/** @file route_table.h Routes of the HTTP front end. */
#pragma once

#include "core/enum_table.h"
#include "net/route.h"

namespace flamingotally
{

/** Properties of a route. */
struct RouteRow {
    Route value; ///< The route.
    std::string_view name; ///< Name in logs and metric labels.
    HttpMethod method;
    std::string_view pattern; ///< Path of the route, in which `{}` matches one name or id.
    Access access; ///< Who may use the route.
};

constexpr EnumTable<Route, RouteRow> routeTable{{
    {Route::SubmitJob, "submit_job", HttpMethod::Post, "/v1/jobs", Access::Admission},
    {Route::ListJobs, "list_jobs", HttpMethod::Get, "/v1/jobs", Access::KeyHolder},
    {Route::ShowJob, "show_job", HttpMethod::Get, "/v1/jobs/{}", Access::JobReader},
    {Route::CancelJob, "cancel_job", HttpMethod::Delete, "/v1/jobs/{}", Access::Admission},
    {Route::ShowResult, "show_result", HttpMethod::Get, "/v1/jobs/{}/result", Access::JobReader},
    {Route::ExplainJob, "explain_job", HttpMethod::Get, "/v1/jobs/{}/explain", Access::JobReader},
    {Route::ListProfiles, "list_profiles", HttpMethod::Get, "/v1/profiles", Access::KeyHolder},
    {Route::ShowProfile, "show_profile", HttpMethod::Get, "/v1/profiles/{}", Access::KeyHolder},
    {Route::PublishProfile, "publish_profile", HttpMethod::Put, "/v1/profiles/{}", Access::Admission},
    {Route::DeleteProfile, "delete_profile", HttpMethod::Delete, "/v1/profiles/{}", Access::Admission},
    {Route::ListTeams, "list_teams", HttpMethod::Get, "/v1/teams", Access::KeyHolder},
    {Route::ShowTeam, "show_team", HttpMethod::Get, "/v1/teams/{}", Access::KeyHolder},
    {Route::SetTeam, "set_team", HttpMethod::Put, "/v1/teams/{}", Access::Admission},
    {Route::DeleteTeam, "delete_team", HttpMethod::Delete, "/v1/teams/{}", Access::Admission},
    {Route::ListKeys, "list_keys", HttpMethod::Get, "/v1/keys", Access::Operator},
    {Route::GrantKey, "grant_key", HttpMethod::Put, "/v1/keys/{}", Access::Admission},
    {Route::WithdrawKey, "withdraw_key", HttpMethod::Delete, "/v1/keys/{}", Access::Admission},
    {Route::ListDomains, "list_domains", HttpMethod::Get, "/v1/domains", Access::KeyHolder},
    {Route::TakeDomainOut, "take_domain_out", HttpMethod::Post, "/v1/domains/{}/out", Access::Admission},
    {Route::TakeDomainIn, "take_domain_in", HttpMethod::Post, "/v1/domains/{}/in", Access::Admission},
    {Route::ListWorkers, "list_workers", HttpMethod::Get, "/v1/workers", Access::KeyHolder},
    {Route::ListDaemons, "list_daemons", HttpMethod::Get, "/v1/daemons", Access::KeyHolder},
    {Route::ShowHistory, "show_history", HttpMethod::Get, "/v1/history", Access::Operator},
    {Route::ShowTop, "show_top", HttpMethod::Get, "/v1/top", Access::KeyHolder},
    {Route::ShowStatus, "show_status", HttpMethod::Get, "/v1/status", Access::Anybody},
    {Route::ShowMetrics, "show_metrics", HttpMethod::Get, "/metrics", Access::Anybody},
    {Route::ShowHealth, "show_health", HttpMethod::Get, "/healthz", Access::Anybody},
    {Route::ShowReadiness, "show_readiness", HttpMethod::Get, "/readyz", Access::Anybody},
}};
static_assert(isComplete(routeTable));

} // namespace flamingotally
