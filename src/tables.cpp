#include "tables.h"

#include <algorithm>

namespace flamingotally
{

void rebuildLookups(Tables &tables)
{
    Lookups rebuilt;
    tables.domains.forEach([&](DomainRef it) { rebuilt.domains[tables.domains.get<DomainIdentity>(it).name] = it; });
    tables.racks.forEach([&](RackRef it) { rebuilt.racks[tables.racks.get<RackIdentity>(it).name] = it; });
    tables.workers.forEach([&](WorkerRef it) { rebuilt.workers[tables.workers.get<WorkerIdentity>(it).name] = it; });
    tables.teams.forEach([&](TeamRef it) { rebuilt.teams[tables.teams.get<TeamIdentity>(it).name] = it; });
    tables.keys.forEach([&](KeyRef it) { rebuilt.keys[tables.keys.get<KeyGrant>(it).label] = it; });
    tables.profiles.forEach(
        [&](ProfileRef it) { rebuilt.profiles[tables.profiles.get<ProfileIdentity>(it).name] = it; });
    tables.daemons.forEach([&](DaemonRef it) { rebuilt.daemons[tables.daemons.get<DaemonIdentity>(it).name] = it; });
    tables.requests.forEach([&](RequestRef it) { rebuilt.requests[tables.requests.get<RequestRecord>(it).id] = it; });
    tables.lookups = std::move(rebuilt);
    tables.attempts.forEach([&](AttemptRef it) { indexAttempt(tables, it); });
}

void indexAttempt(Tables &tables, AttemptRef attempt)
{
    const auto &identity = tables.attempts.get<AttemptIdentity>(attempt);
    auto &lookups = tables.lookups;
    lookups.attempts[identity.number] = attempt;
    if (lookups.attemptsOfWorker.size() <= identity.worker.index) {
        lookups.attemptsOfWorker.resize(tables.workers.capacity());
    }
    lookups.attemptsOfWorker[identity.worker.index].push_back(attempt);
}

void unindexAttempt(Tables &tables, AttemptRef attempt)
{
    const auto &identity = tables.attempts.get<AttemptIdentity>(attempt);
    tables.lookups.attempts.erase(identity.number);
    auto &ofWorker = tables.lookups.attemptsOfWorker[identity.worker.index];
    if (const auto it = std::ranges::find(ofWorker, attempt); it != ofWorker.end()) {
        *it = ofWorker.back();
        ofWorker.pop_back();
    }
}

const std::vector<AttemptRef> &attemptsOf(const Tables &tables, WorkerRef worker)
{
    static const std::vector<AttemptRef> none;
    const auto &ofWorker = tables.lookups.attemptsOfWorker;
    return worker.index < ofWorker.size() ? ofWorker[worker.index] : none;
}

} // namespace flamingotally
