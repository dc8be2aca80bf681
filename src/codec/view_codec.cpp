#include "codec/view_codec.h"

#include "codec/json_field.h"
#include "codec/view_json.h"
#include "table/node_table.h"
#include "table/reason_table.h"

namespace flamingotally
{

namespace
{

/** Adds the age of the view to a response body and serializes the body. */
std::string serializeWithAge(boost::json::object object, const ViewAge &age)
{
    object["view"] = toJson(age);
    return boost::json::serialize(object);
}

/**
 * Encodes a response body that consists of a list of views and the age of the data.
 * @param name Name of the member that contains the list.
 */
template<typename View>
std::string encodeList(std::string_view name, const std::vector<View> &views, const ViewAge &age)
{
    boost::json::object object;
    object[name] = toJsonArray(views);
    return serializeWithAge(std::move(object), age);
}

/** Converts counts per enumerator to a JSON object with the names of the enumerators; counts of zero are left out. */
template<typename Table, typename Counts>
boost::json::object countsToJson(const Table &table, const Counts &counts)
{
    boost::json::object object;
    for (const auto &row : table) {
        if (const auto n = counts[static_cast<std::size_t>(row.value)]; n > 0) {
            object[row.name] = n;
        }
    }
    return object;
}

} // namespace

std::string encodeJob(const JobView &job, const ViewAge &age)
{
    return serializeWithAge(toJson(job), age);
}

std::string encodeJobs(const std::vector<JobView> &jobs, const ViewAge &age)
{
    return encodeList("jobs", jobs, age);
}

std::string encodeExplain(const ExplainView &explain, const ViewAge &age)
{
    return serializeWithAge(toJson(explain), age);
}

std::string encodeTeams(const std::vector<TeamView> &teams, const ViewAge &age)
{
    return encodeList("teams", teams, age);
}

std::string encodeTeam(const TeamView &team, const ViewAge &age)
{
    return serializeWithAge(toJson(team), age);
}

std::string encodeKeys(const std::vector<KeyView> &keys, const ViewAge &age)
{
    return encodeList("keys", keys, age);
}

std::string encodeProfiles(const std::vector<ProfileView> &profiles, const ViewAge &age)
{
    return encodeList("profiles", profiles, age);
}

std::string encodeProfile(const ProfileView &profile, const ViewAge &age)
{
    auto object = toJson(profile);
    object["source"] = profile.source;
    return serializeWithAge(std::move(object), age);
}

std::string encodeDomains(const std::vector<DomainView> &domains, const ViewAge &age)
{
    return encodeList("domains", domains, age);
}

std::string encodeWorkers(const std::vector<WorkerView> &workers, const ViewAge &age)
{
    return encodeList("workers", workers, age);
}

std::string encodeDaemons(const std::vector<DaemonView> &daemons, const ViewAge &age)
{
    return encodeList("daemons", daemons, age);
}

std::string encodeHistory(const std::vector<ConfigChange> &changes, const ViewAge &age)
{
    return encodeList("history", changes, age);
}

std::string encodeStatus(const StatusView &status, const ViewAge &age)
{
    boost::json::object object;
    object["daemon"] = status.daemon;
    object["domain"] = status.domain;
    object["phase"] = nameOf(nodePhaseTable, status.phase);
    object["incarnation"] = status.incarnation;
    object["fenceMs"] = status.fence.count();
    object["readsLog"] = status.readsLog;
    object["jobs"] = status.jobs;
    object["tasks"] = status.tasks;
    object["attempts"] = status.attempts;
    object["workers"] = status.workers;
    object["proposals"] = status.proposals;
    object["waiters"] = status.waiters;
    return serializeWithAge(std::move(object), age);
}

std::string encodeTop(const TopView &top, const ViewAge &age)
{
    boost::json::object object;
    object["teams"] = toJsonArray(top.teams);
    object["domains"] = toJsonArray(top.domains);
    object["daemons"] = toJsonArray(top.daemons);
    object["profiles"] = toJsonArray(top.profiles);
    object["refusals"] = countsToJson(reasonTable, top.counters.refusals);
    object["rejections"] = countsToJson(reasonTable, top.counters.rejections);
    object["retries"] = countsToJson(retryReasonTable, top.counters.retries);
    return serializeWithAge(std::move(object), age);
}

std::string encodeChange(const CommandResult &result, const ViewAge &age)
{
    boost::json::object object;
    object["offset"] = result.offset;
    object["version"] = result.version;
    return serializeWithAge(std::move(object), age);
}

} // namespace flamingotally
