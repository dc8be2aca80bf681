#include "codec/view_json.h"

#include "codec/json_field.h"
#include "table/domain_table.h"
#include "table/history_table.h"
#include "table/job_table.h"
#include "table/profile_field_table.h"
#include "table/reason_table.h"
#include "table/request_field_table.h"
#include "table/resources_field_table.h"
#include "table/worker_table.h"

#include <fmt/format.h>

namespace flamingotally
{

namespace
{

std::int64_t toUnixMs(LogTime time)
{
    return time.time_since_epoch().count();
}

std::string toHex(std::uint64_t digest)
{
    return fmt::format("{:016x}", digest);
}

/** Returns whether the bytes are valid UTF-8, which a JSON string must be. */
bool isUtf8(const std::string &bytes)
{
    boost::system::error_code ec;
    boost::json::parse(boost::json::serialize(boost::json::string(bytes)), ec);
    return !ec;
}

boost::json::object toJson(const TaskResult &result)
{
    boost::json::object object;
    object["length"] = result.length;
    object["digest"] = toHex(result.digest);
    if (!result.storedBy.empty()) {
        object["heldBy"] = result.storedBy;
    } else if (isUtf8(result.body)) {
        object["body"] = result.body;
    }
    return object;
}

} // namespace

boost::json::object toJson(const Resources &resources)
{
    boost::json::object object;
    writeJsonFields(object, resourcesFieldTable, resources);
    return object;
}

boost::json::object toJson(const ViewAge &age)
{
    boost::json::object object;
    object["daemon"] = age.daemon;
    object["offset"] = age.offset;
    object["ageMs"] = age.age.count();
    object["fresh"] = age.fresh;
    return object;
}

boost::json::object toJson(const TaskView &task)
{
    boost::json::object object;
    object["ordinal"] = task.ordinal;
    object["phase"] = nameOf(taskPhaseTable, task.phase);
    object["outcome"] = nameOf(outcomeTable, task.outcome);
    object["worker"] = task.worker;
    object["domain"] = task.domain;
    object["attempts"] = task.attempts;
    object["failures"] = task.failures;
    if (task.phase == TaskPhase::Ended) {
        object["result"] = toJson(task.result);
    }
    return object;
}

boost::json::object toJson(const JobView &job)
{
    boost::json::object object;
    object["id"] = toString(job.id);
    object["name"] = job.name;
    object["profile"] = job.profile;
    object["team"] = job.team;
    object["kind"] = nameOf(workKindTable, job.kind);
    object["resources"] = toJson(job.perTask);
    object["outcome"] = nameOf(outcomeTable, job.state.outcome);
    object["cancelled"] = job.state.cancelled;
    object["waiting"] = job.state.waiting;
    object["placed"] = job.state.placed;
    object["ended"] = job.state.ended;
    object["failed"] = job.state.failed;
    object["acceptedAtMs"] = toUnixMs(job.state.acceptedAt);
    object["endedAtMs"] = toUnixMs(job.state.endedAt);
    object["tasks"] = toJsonArray(job.tasks);
    return object;
}

boost::json::object toJson(const ExplainView &explain)
{
    boost::json::array rows;
    for (const auto &it : explain.rows) {
        const auto &row = rowOf(reasonTable, it.reason);
        boost::json::object entry;
        entry["reason"] = row.name;
        entry["workers"] = it.workers;
        entry["text"] = it.reason == Reason::None ? "A task of the job can start on these workers now." : row.text;
        rows.push_back(std::move(entry));
    }
    boost::json::object object;
    object["id"] = toString(explain.id);
    object["outcome"] = nameOf(outcomeTable, explain.outcome);
    object["waiting"] = explain.waiting;
    object["placed"] = explain.placed;
    object["team"] = explain.team;
    object["resources"] = toJson(explain.perTask);
    object["teamRunning"] = toJson(explain.teamRunning);
    object["teamLimit"] = toJson(explain.teamLimit);
    object["pauseMs"] = explain.pause.count();
    object["workers"] = std::move(rows);
    return object;
}

boost::json::object toJson(const TeamView &team)
{
    boost::json::object object;
    object["name"] = team.name;
    writeJsonFields(object, teamFieldTable, team.policy);
    object["limit"] = toJson(team.policy.limit);
    object["version"] = team.policy.version;
    object["deleted"] = team.policy.deleted;
    object["running"] = toJson(team.use.running);
    object["waitingTasks"] = team.use.waitingTasks;
    object["sharePart"] = team.shareFraction;
    object["usePart"] = team.usageFraction;
    return object;
}

boost::json::object toJson(const KeyView &key)
{
    boost::json::object object;
    object["label"] = key.label;
    object["team"] = key.team;
    object["role"] = nameOf(keyRoleTable, key.role);
    object["withdrawn"] = key.withdrawn;
    object["changedAtMs"] = toUnixMs(key.changedAt);
    return object;
}

boost::json::object toJson(const ProfileView &profile)
{
    boost::json::object object;
    object["name"] = profile.identity.name;
    object["version"] = profile.identity.version;
    object["deleted"] = profile.identity.deleted;
    object["waitingTasks"] = profile.waitingTasks;
    object["placedTasks"] = profile.placedTasks;
    boost::json::object spec;
    writeJsonFields(spec, profileFieldTable, profile.spec);
    object["spec"] = std::move(spec);
    return object;
}

boost::json::object toJson(const DomainView &domain)
{
    boost::json::object object;
    object["name"] = domain.name;
    object["service"] = nameOf(domainServiceTable, domain.state.service);
    object["version"] = domain.state.version;
    object["changedAtMs"] = toUnixMs(domain.state.changedAt);
    object["workers"] = domain.workers;
    object["liveWorkers"] = domain.liveWorkers;
    object["attempts"] = domain.attempts;
    object["total"] = toJson(domain.total);
    object["used"] = toJson(domain.used);
    return object;
}

boost::json::object toJson(const WorkerView &worker)
{
    boost::json::object object;
    object["name"] = worker.identity.name;
    object["address"] = worker.identity.address;
    object["domain"] = worker.domain;
    object["rack"] = worker.rack;
    object["service"] = nameOf(workerServiceTable, worker.state.service);
    object["changedAtMs"] = toUnixMs(worker.state.changedAt);
    object["attempts"] = worker.capacity.attempts;
    object["total"] = toJson(worker.capacity.total);
    object["used"] = toJson(worker.capacity.used);
    object["recentEnds"] = worker.state.recentEnds;
    object["recentFailures"] = worker.state.recentFailures;
    return object;
}

boost::json::object toJson(const DaemonView &daemon)
{
    boost::json::object object;
    object["name"] = daemon.identity.name;
    object["domain"] = daemon.domain;
    object["httpAddress"] = daemon.identity.httpAddress;
    object["peerAddress"] = daemon.identity.peerAddress;
    object["incarnation"] = daemon.identity.incarnation;
    object["leaving"] = daemon.leaving;
    object["self"] = daemon.self;
    object["heard"] = daemon.reachable;
    object["heardAgoMs"] = daemon.heartbeatAge.count();
    object["appliedOffset"] = daemon.appliedOffset;
    object["digestOffset"] = daemon.digestOffset;
    object["digest"] = toHex(daemon.digest);
    object["readsLog"] = daemon.readsLog;
    return object;
}

boost::json::object toJson(const ConfigChange &change)
{
    boost::json::object object;
    object["offset"] = change.offset;
    object["atMs"] = toUnixMs(change.at);
    object["change"] = nameOf(changeKindTable, change.kind);
    object["subject"] = change.subject;
    object["version"] = change.version;
    object["author"] = change.author;
    object["detail"] = change.detail;
    return object;
}

} // namespace flamingotally
