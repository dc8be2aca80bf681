/**
 * @file query_func.h Queries on the tables, for callers and operators. The queries change nothing and are independent
 * of any encoding.
 */
#pragma once

#include "view_type.h"

#include <optional>

namespace flamingotally
{

/** Returns the log position up to which this daemon's tables are current, and the age of the tables. */
ViewAge viewAgeOf(const Node &node, MonotonicTime now);

/** Returns a summary of this daemon's state. */
StatusView viewStatus(const Node &node);

/** Finds a job by its id; unset when the tables do not contain it. */
JobRef findJob(const Tables &tables, const RequestId &id);

/** Returns a job with its tasks. The job must be in the tables. */
JobView viewJob(const Tables &tables, JobRef job);

/** Finds all jobs that have not ended, of one team or, when `team` is unset, of all teams. */
std::vector<JobRef> findOpenJobs(const Tables &tables, TeamRef team);

/**
 * Explains why tasks of a job wait: counts the workers by the reason why the first waiting task of the job cannot be
 * placed on them. The job must be in the tables.
 */
ExplainView explainJob(const Tables &tables, JobRef job, LogTime now);

/** Returns all teams, ordered by name. */
std::vector<TeamView> viewTeams(const Tables &tables);

/** Returns all access keys without their digests, ordered by label. */
std::vector<KeyView> viewKeys(const Tables &tables);

/** Returns all profiles, ordered by name. */
std::vector<ProfileView> viewProfiles(const Tables &tables);

/** Returns all failure domains, ordered by name. */
std::vector<DomainView> viewDomains(const Tables &tables);

/** Returns all workers, ordered by name. */
std::vector<WorkerView> viewWorkers(const Tables &tables);

/** Returns all daemons, ordered by name. */
std::vector<DaemonView> viewDaemons(const Node &node, MonotonicTime now);

/** Returns the changes of the configuration that the filter selects, newest first. */
std::vector<ConfigChange> viewHistory(const Tables &tables, const HistoryFilter &filter);

/**
 * Finds the view with a name.
 * @param views Views of one kind.
 * @param name The name.
 * @param nameOfView Returns the name of a view.
 * @return The view, or `std::nullopt` when none has the name.
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
