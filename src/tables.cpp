#include "tables.h"

namespace flamingotally
{

void rebuildLookups(Tables &tables)
{
    Lookups found;
    tables.domains.forEach([&](DomainRef it) { found.domains[tables.domains.get<DomainIdentity>(it).name] = it; });
    tables.racks.forEach([&](RackRef it) { found.racks[tables.racks.get<RackIdentity>(it).name] = it; });
    tables.workers.forEach([&](WorkerRef it) { found.workers[tables.workers.get<WorkerIdentity>(it).name] = it; });
    tables.teams.forEach([&](TeamRef it) { found.teams[tables.teams.get<TeamIdentity>(it).name] = it; });
    tables.keys.forEach([&](KeyRef it) { found.keys[tables.keys.get<KeyGrant>(it).label] = it; });
    tables.profiles.forEach([&](ProfileRef it) { found.profiles[tables.profiles.get<ProfileIdentity>(it).name] = it; });
    tables.daemons.forEach([&](DaemonRef it) { found.daemons[tables.daemons.get<DaemonIdentity>(it).name] = it; });
    tables.requests.forEach([&](RequestRef it) { found.requests[tables.requests.get<RequestRecord>(it).id] = it; });
    tables.attempts.forEach(
        [&](AttemptRef it) { found.attempts[tables.attempts.get<AttemptIdentity>(it).number] = it; });
    tables.lookups = std::move(found);
}

} // namespace flamingotally
