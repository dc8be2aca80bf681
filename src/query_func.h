/** @file query_func.h Queries over the tables. None changes anything or knows an encoding. */
#pragma once

#include "view_type.h"

#include <optional>

namespace flamingotally
{

/** Tells how old the tables are. */
ViewAge viewAgeOf(const Node &node, MonotonicTime now);

/** This daemon at a glance. */
StatusView viewStatus(const Node &node);

/** Finds a job by its id; unset when it is not in the tables. */
JobRef findJob(const Tables &tables, const RequestId &id);

/** Shows a job that is in the tables. */
JobView viewJob(const Tables &tables, JobRef job);

/** Shows all jobs of a team that have not ended, or of all teams. */
std::vector<JobRef> findOpenJobs(const Tables &tables, TeamRef team);

/** Explains why a job that is in the tables waits. */
ExplainView explainJob(const Tables &tables, JobRef job, LogTime now);

/** Shows all teams, ordered by name. */
std::vector<TeamView> viewTeams(const Tables &tables);

/** Shows all keys, ordered by label. */
std::vector<KeyView> viewKeys(const Tables &tables);

/** Shows all profiles, ordered by name. */
std::vector<ProfileView> viewProfiles(const Tables &tables);

/** Shows all failure domains, ordered by name. */
std::vector<DomainView> viewDomains(const Tables &tables);

/** Shows all workers, ordered by name. */
std::vector<WorkerView> viewWorkers(const Tables &tables);

/** Shows all daemons, ordered by name. */
std::vector<DaemonView> viewDaemons(const Node &node, MonotonicTime now);

/** Shows changes of the configuration, newest first. */
std::vector<ConfigChange> viewHistory(const Tables &tables, const HistoryFilter &filter);

/**
 * Finds the one of some views that bears a name.
 * @param views Views of one kind.
 * @param name The name.
 * @param nameOfView Gives the name of a view.
 */
template<typename View, typename Projection>
std::optional<View> findView(const std::vector<View> &views, std::string_view name, Projection nameOfView)
{
    for (const auto &it : views) {
        if (std::invoke(nameOfView, it) == name) {
            return it;
        }
    }
    return std::nullopt;
}

} // namespace flamingotally
