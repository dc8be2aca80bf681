/** @file view_codec.h Writes what callers and operators are shown as JSON. */
#pragma once

#include "query_func.h"

#include <string>

namespace flamingotally
{

/** Everything of `flamingoctl top`. */
struct TopView {
    std::vector<TeamView> teams;
    std::vector<DomainView> domains;
    std::vector<DaemonView> daemons;
    std::vector<ProfileView> profiles;
    Counters counters; ///< Of the daemon that was asked.
};

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

/** Writes what became of an operator's change: the offset from which on it is in force, and its version. */
std::string encodeChange(const CommandResult &result, const ViewAge &age);

} // namespace flamingotally
