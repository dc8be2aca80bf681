#include "query_func.h"

#include <algorithm>
#include <tuple>

namespace flamingotally
{

namespace
{

/** Returns the name of a row of a table; empty when the row was erased. */
template<typename Identity, typename TableT>
std::string nameIn(const TableT &table, typename TableT::RowRef ref)
{
    return table.contains(ref) ? table.template get<Identity>(ref).name : std::string();
}

template<typename View, typename Projection>
std::vector<View> sortedByName(std::vector<View> views, Projection nameOfView)
{
    std::ranges::sort(views, {}, nameOfView);
    return views;
}

TaskView viewTask(const Tables &tables, TaskRef task)
{
    const auto &state = tables.tasks.get<TaskState>(task);
    TaskView view;
    view.ordinal = tables.tasks.get<TaskIdentity>(task).ordinal;
    view.phase = state.phase;
    view.outcome = state.outcome;
    view.attempts = state.attempts;
    view.failures = state.failures;
    view.result = tables.tasks.get<TaskResult>(task);
    if (!tables.attempts.contains(state.attempt)) {
        return view;
    }
    const auto worker = tables.attempts.get<AttemptIdentity>(state.attempt).worker;
    if (tables.workers.contains(worker)) {
        view.worker = tables.workers.get<WorkerIdentity>(worker).name;
        view.domain = nameIn<DomainIdentity>(tables.domains, tables.workers.get<WorkerLocation>(worker).domain);
    }
    return view;
}

/** Returns the total capacity of the workers in failure domains that are in service. */
Resources totalInService(const Tables &tables)
{
    Resources total;
    tables.workers.forEach([&](WorkerRef it) {
        const auto domain = tables.workers.get<WorkerLocation>(it).domain;
        const bool isInService =
            tables.domains.contains(domain) && tables.domains.get<DomainState>(domain).service == DomainService::In;
        if (isInService) {
            total += tables.workers.get<WorkerCapacity>(it).total;
        }
    });
    return total;
}

double fractionOf(std::int64_t amount, std::int64_t total)
{
    return total > 0 ? static_cast<double>(amount) / static_cast<double>(total) : 0.0;
}

/** Returns the source text of the last publication of a profile; empty when the history no longer contains it. */
std::string lastSourceOf(const Tables &tables, const ProfileIdentity &identity)
{
    std::string source;
    std::uint64_t version = 0;
    tables.history.forEach([&](HistoryRef it) {
        const auto &change = tables.history.get<ConfigChange>(it);
        const bool isPublication = change.kind == ChangeKind::ProfilePublished && change.subject == identity.name;
        if (isPublication && change.version > version) {
            source = change.detail;
            version = change.version;
        }
    });
    return source;
}

/** Completes the view of this daemon from its local state. */
DaemonView viewSelf(const Node &node, DaemonView view)
{
    view.self = true;
    view.reachable = true;
    view.appliedOffset = node.tables.position.nextOffset;
    view.readsLog = node.view.caughtUp && !node.view.lastReadFailed;
    if (!node.digests.empty()) {
        view.digestOffset = node.digests.back().offset;
        view.digest = node.digests.back().digest;
    }
    return view;
}

/** Completes the view of another daemon from its last heartbeat. */
DaemonView viewPeer(const Node &node, const Peer &peer, DaemonView view, MonotonicTime now)
{
    view.heartbeatAge = now - peer.lastReceivedAt;
    view.reachable = view.heartbeatAge <= node.settings.peerTimeout && peer.incarnation == view.identity.incarnation;
    view.appliedOffset = peer.appliedOffset;
    view.digestOffset = peer.digestOffset;
    view.digest = peer.digest;
    view.readsLog = peer.readsLog;
    view.leaving = view.leaving || peer.leaving;
    return view;
}

} // namespace

ViewAge viewAgeOf(const Node &node, MonotonicTime now)
{
    const auto age = now - node.view.freshAt;
    return {node.settings.name, node.tables.position.nextOffset, age, node.view.caughtUp && age <= node.settings.fence};
}

StatusView viewStatus(const Node &node)
{
    StatusView view;
    view.daemon = node.settings.name;
    view.domain = node.settings.domain;
    view.phase = node.phase;
    view.incarnation = node.incarnation;
    view.fence = node.settings.fence;
    view.readsLog = node.view.caughtUp && !node.view.lastReadFailed;
    view.jobs = node.tables.jobs.size();
    view.tasks = node.tables.tasks.size();
    view.attempts = node.tables.attempts.size();
    view.workers = node.tables.workers.size();
    view.proposals = node.proposals.size();
    view.waiters = node.waiters.size();
    return view;
}

JobRef findJob(const Tables &tables, const RequestId &id)
{
    const auto request = findRef(tables.lookups.requests, id);
    if (!tables.requests.contains(request)) {
        return {};
    }
    const auto job = tables.requests.get<RequestRecord>(request).job;
    return tables.jobs.contains(job) ? job : JobRef{};
}

JobView viewJob(const Tables &tables, JobRef job)
{
    const auto &identity = tables.jobs.get<JobIdentity>(job);
    const auto &spec = tables.jobs.get<JobSpec>(job);
    JobView view;
    view.id = identity.request;
    view.name = identity.name;
    view.profile = nameIn<ProfileIdentity>(tables.profiles, identity.profile);
    view.team = nameIn<TeamIdentity>(tables.teams, identity.team);
    view.kind = spec.profileSpec.kind;
    view.perTask = spec.perTask;
    view.state = tables.jobs.get<JobState>(job);
    for (const auto it : view.state.tasks) {
        view.tasks.push_back(viewTask(tables, it));
    }
    return view;
}

std::vector<JobRef> findOpenJobs(const Tables &tables, TeamRef team)
{
    std::vector<JobRef> found;
    tables.jobs.forEach([&](JobRef it) {
        const bool isRequestedTeam = !team.isSet() || tables.jobs.get<JobIdentity>(it).team == team;
        if (isRequestedTeam && tables.jobs.get<JobState>(it).outcome == Outcome::None) {
            found.push_back(it);
        }
    });
    return found;
}

std::vector<TeamView> viewTeams(const Tables &tables)
{
    std::vector<TeamView> views;
    std::int64_t shares = 0;
    const auto total = totalInService(tables);
    tables.teams.forEach([&](TeamRef it) {
        TeamView view{
            tables.teams.get<TeamIdentity>(it).name, tables.teams.get<TeamPolicy>(it), tables.teams.get<TeamUsage>(it)};
        const auto &running = view.use.running;
        view.usageFraction = std::max({fractionOf(running.cpuMilli, total.cpuMilli),
                                       fractionOf(running.memoryMb, total.memoryMb),
                                       fractionOf(running.accelerators, total.accelerators)});
        shares += view.policy.deleted ? 0 : view.policy.share;
        views.push_back(std::move(view));
    });
    for (auto &it : views) {
        it.shareFraction = it.policy.deleted ? 0.0 : fractionOf(it.policy.share, shares);
    }
    return sortedByName(std::move(views), &TeamView::name);
}

std::vector<KeyView> viewKeys(const Tables &tables)
{
    std::vector<KeyView> views;
    tables.keys.forEach([&](KeyRef it) {
        const auto &grant = tables.keys.get<KeyGrant>(it);
        const auto team = nameIn<TeamIdentity>(tables.teams, grant.team);
        views.push_back({grant.label, team, grant.role, grant.withdrawn, grant.changedAt});
    });
    return sortedByName(std::move(views), &KeyView::label);
}

std::vector<ProfileView> viewProfiles(const Tables &tables)
{
    std::vector<ProfileView> views(tables.profiles.capacity());
    tables.jobs.forEach([&](JobRef it) {
        auto &view = views[tables.jobs.get<JobIdentity>(it).profile.index];
        view.waitingTasks += tables.jobs.get<JobState>(it).waiting;
        view.placedTasks += tables.jobs.get<JobState>(it).placed;
    });
    std::vector<ProfileView> found;
    tables.profiles.forEach([&](ProfileRef it) {
        auto &view = views[it.index];
        view.identity = tables.profiles.get<ProfileIdentity>(it);
        view.spec = tables.profiles.get<ProfileSpec>(it);
        view.source = lastSourceOf(tables, view.identity);
        found.push_back(std::move(view));
    });
    return sortedByName(std::move(found), [](const ProfileView &it) { return it.identity.name; });
}

std::vector<DomainView> viewDomains(const Tables &tables)
{
    std::vector<DomainView> views(tables.domains.capacity());
    tables.workers.forEach([&](WorkerRef it) {
        auto &view = views[tables.workers.get<WorkerLocation>(it).domain.index];
        const auto &capacity = tables.workers.get<WorkerCapacity>(it);
        ++view.workers;
        view.liveWorkers += tables.workers.get<WorkerState>(it).service == WorkerService::Live ? 1 : 0;
        view.attempts += capacity.attempts;
        view.total += capacity.total;
        view.used += capacity.used;
    });
    std::vector<DomainView> found;
    tables.domains.forEach([&](DomainRef it) {
        auto &view = views[it.index];
        view.name = tables.domains.get<DomainIdentity>(it).name;
        view.state = tables.domains.get<DomainState>(it);
        found.push_back(std::move(view));
    });
    return sortedByName(std::move(found), &DomainView::name);
}

std::vector<WorkerView> viewWorkers(const Tables &tables)
{
    std::vector<WorkerView> views;
    tables.workers.forEach([&](WorkerRef it) {
        const auto &location = tables.workers.get<WorkerLocation>(it);
        views.push_back({tables.workers.get<WorkerIdentity>(it),
                         nameIn<DomainIdentity>(tables.domains, location.domain),
                         nameIn<RackIdentity>(tables.racks, location.rack),
                         tables.workers.get<WorkerCapacity>(it),
                         tables.workers.get<WorkerState>(it)});
    });
    return sortedByName(std::move(views), [](const WorkerView &it) { return it.identity.name; });
}

std::vector<DaemonView> viewDaemons(const Node &node, MonotonicTime now)
{
    const auto &tables = node.tables;
    std::vector<DaemonView> views;
    tables.daemons.forEach([&](DaemonRef it) {
        DaemonView view;
        view.identity = tables.daemons.get<DaemonIdentity>(it);
        view.domain = nameIn<DomainIdentity>(tables.domains, view.identity.domain);
        view.leaving = tables.daemons.get<DaemonState>(it).leaving;
        const auto peer = findRef(node.peerByName, view.identity.name);
        if (view.identity.name == node.settings.name) {
            view = viewSelf(node, std::move(view));
        } else if (node.peers.contains(peer)) {
            view = viewPeer(node, node.peers.get<Peer>(peer), std::move(view), now);
        }
        views.push_back(std::move(view));
    });
    return sortedByName(std::move(views), [](const DaemonView &it) { return it.identity.name; });
}

std::vector<ConfigChange> viewHistory(const Tables &tables, const HistoryFilter &filter)
{
    std::vector<ConfigChange> changes;
    tables.history.forEach([&](HistoryRef it) {
        const auto &change = tables.history.get<ConfigChange>(it);
        if (filter.subject.empty() || change.subject == filter.subject) {
            changes.push_back(change);
        }
    });
    std::ranges::sort(changes, [](const ConfigChange &left, const ConfigChange &right) {
        return std::tie(right.offset, right.version) < std::tie(left.offset, left.version);
    });
    if (changes.size() > filter.maxChanges) {
        changes.resize(filter.maxChanges);
    }
    return changes;
}

} // namespace flamingotally
