/** @file route.h Routes of the HTTP front end. Their methods, paths and access rights are in table/route_table.h. */
#pragma once

#include "net/http_type.h"

#include <optional>
#include <string>

namespace flamingotally
{

/** Operation that a request asks for. */
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

/** Who may use a route. For requests that change something, admission decides. */
enum class Access : std::uint8_t {
    Anybody,
    Admission, ///< Admission checks the key.
    JobReader, ///< Key holders of the job's team and operators; for a job of an open queue, callers with its id.
    KeyHolder, ///< Bearers of any granted key.
    Operator,
    End,
};

/** The route of a request. */
struct RouteMatch {
    Route route = Route::ShowHealth;
    std::string subject; ///< Name or id in the path; empty if the route has none.
};

/** Reason why a request has no route. */
enum class RouteFault : std::uint8_t {
    None,
    UnknownPath,
    WrongMethod, ///< The path is known, but does not allow the method.
    End,
};

/** Result of the search for a route. */
struct RouteResult {
    RouteFault fault = RouteFault::UnknownPath;
    RouteMatch match; ///< Valid only if the fault is `None`.
};

/** Finds the route of a method and a decoded path. */
RouteResult findRoute(HttpMethod method, std::string_view path);

} // namespace flamingotally
