/** @file route.h Routes of the front: which method and path ask for what. Their table: table/route_table.h. */
#pragma once

#include "net/http_type.h"

#include <optional>
#include <string>

namespace flamingotally
{

/** What a request asks for. */
enum class Route : std::uint8_t {
    SubmitJob,
    ListJobs,
    ShowJob,
    CancelJob,
    ShowResult,
    ExplainJob,
    ListProfiles,
    ShowProfile,
    PublishProfile,
    DeleteProfile,
    ListTeams,
    ShowTeam,
    SetTeam,
    DeleteTeam,
    ListKeys,
    GrantKey,
    WithdrawKey,
    ListDomains,
    TakeDomainOut,
    TakeDomainIn,
    ListWorkers,
    ListDaemons,
    ShowHistory,
    ShowTop,
    ShowStatus,
    ShowMetrics,
    ShowHealth,
    ShowReadiness,
    End,
};

/** Who may ask. What changes something is judged by admission instead. */
enum class Access : std::uint8_t {
    Anybody,
    Admission, ///< Admission judges the key.
    JobReader, ///< Bearers of a key of the job's team, operators, and anybody who knows the id of an open queue's job.
    KeyHolder, ///< Bearers of any key that is granted.
    Operator,
    End,
};

/** A route that takes a request. */
struct RouteMatch {
    Route route = Route::ShowHealth;
    std::string subject; ///< Name or id in the path; empty when the route has none.
};

/** Why no route takes a request. */
enum class RouteFault : std::uint8_t {
    None,
    UnknownPath,
    WrongMethod, ///< The path is known, but not with this method.
    End,
};

/** What the routes say to a request. */
struct RouteResult {
    RouteFault fault = RouteFault::UnknownPath;
    RouteMatch match; ///< Void unless the fault is `None`.
};

/** Finds the route of a method and a decoded path. */
RouteResult findRoute(HttpMethod method, std::string_view path);

} // namespace flamingotally
