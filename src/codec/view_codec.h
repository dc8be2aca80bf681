/**
 * @file view_codec.h Encodes the response bodies for callers and operators as JSON. Each body has a member "view" with
 * the age of the data.
 */
#pragma once

#include "query_func.h"

#include <string>

namespace flamingotally
{

/** Data that `flamingoctl top` shows. */
struct TopView {
    std::vector<TeamView> teams;
    std::vector<DomainView> domains;
    std::vector<DaemonView> daemons;
    std::vector<ProfileView> profiles;
    Counters counters; ///< Counters of the daemon that serves the request.
};

// Each function encodes one kind of response body.
std::string encodeJob(const JobView &job, const ViewAge &age);
std::string encodeJobs(const std::vector<JobView> &jobs, const ViewAge &age);
std::string encodeExplain(const ExplainView &explain, const ViewAge &age);
std::string encodeTeams(const std::vector<TeamView> &teams, const ViewAge &age);
std::string encodeTeam(const TeamView &team, const ViewAge &age);
std::string encodeKeys(const std::vector<KeyView> &keys, const ViewAge &age);
std::string encodeProfiles(const std::vector<ProfileView> &profiles, const ViewAge &age);
std::string encodeProfile(const ProfileView &profile, const ViewAge &age);
std::string encodeDomains(const std::vector<DomainView> &domains, const ViewAge &age);
std::string encodeWorkers(const std::vector<WorkerView> &workers, const ViewAge &age);
std::string encodeDaemons(const std::vector<DaemonView> &daemons, const ViewAge &age);
std::string encodeHistory(const std::vector<ConfigChange> &changes, const ViewAge &age);
std::string encodeStatus(const StatusView &status, const ViewAge &age);
std::string encodeTop(const TopView &top, const ViewAge &age);

/**
 * Encodes the result of an operator's change: the log offset of the change and the new version of the changed object.
 */
std::string encodeChange(const CommandResult &result, const ViewAge &age);

} // namespace flamingotally
