#include "worker_cmd.h"

#include "attempt_func.h"
#include "config_func.h"

namespace flamingotally
{

namespace
{

Reason test(const Tables &tables, const RegisterWorker &command)
{
    if (command.name.empty() || command.bootId == 0 || !command.total.isNonNegative()) {
        return Reason::MalformedRequest;
    }
    const auto known = findRef(tables.lookups.workers, command.name);
    if (known.isSet() && tables.workers.get<WorkerIdentity>(known).bootId > command.bootId) {
        return Reason::WorkerRebooted;
    }
    return Reason::None;
}

RackRef findOrCreateRack(Tables &tables, const std::string &name, DomainRef domain)
{
    if (const auto known = findRef(tables.lookups.racks, name); known.isSet()) {
        return known;
    }
    const auto created = tables.racks.insert({name, domain});
    tables.lookups.racks[name] = created;
    return created;
}

/** Ends, as lost, all attempts of a worker that belong to another boot than `bootId`. */
void endAttemptsOfEarlierBoot(Tables &tables, const RecordContext &context, WorkerRef worker, std::uint64_t bootId)
{
    tables.attempts.forEach([&](AttemptRef it) {
        const auto &identity = tables.attempts.get<AttemptIdentity>(it);
        if (identity.worker == worker && identity.bootId != bootId) {
            endAttempt(tables, context, it, {identity.number, Outcome::Lost, {}});
        }
    });
}

} // namespace

CommandResult apply(Tables &tables, const RecordContext &context, const RegisterWorker &command, Phase phase)
{
    if (const auto reason = test(tables, command); reason != Reason::None || phase == Phase::Test) {
        return resultWith(reason);
    }
    const WorkerIdentity identity{command.name, command.address, command.bootId};
    const auto domain = findOrCreateDomain(tables, context, command.domain);
    const WorkerLocation location{domain, findOrCreateRack(tables, command.rack, domain)};
    const auto known = findRef(tables.lookups.workers, command.name);
    if (!known.isSet()) {
        WorkerState state;
        state.changedAt = context.time;
        tables.lookups.workers[command.name] = tables.workers.insert(identity, location, {command.total, {}, 0}, state);
        return {};
    }
    if (tables.workers.get<WorkerIdentity>(known).bootId != command.bootId) {
        endAttemptsOfEarlierBoot(tables, context, known, command.bootId);
    }
    tables.workers.get<WorkerIdentity>(known) = identity;
    tables.workers.get<WorkerLocation>(known) = location;
    tables.workers.get<WorkerCapacity>(known).total = command.total;
    return {};
}

CommandResult apply(Tables &tables, const RecordContext &context, const SetWorkerService &command, Phase phase)
{
    if (!tables.workers.contains(command.worker)) {
        return resultWith(Reason::WorkerUnknown);
    }
    if (phase == Phase::Test) {
        return {};
    }
    auto &state = tables.workers.get<WorkerState>(command.worker);
    if (state.service == command.service) {
        return {};
    }
    state.service = command.service;
    state.changedAt = context.time;
    state.recentEnds = 0;
    state.recentFailures = 0;
    return {};
}

CommandResult apply(Tables &tables, const RecordContext & /*context*/, const RemoveWorker &command, Phase phase)
{
    if (!tables.workers.contains(command.worker)) {
        return resultWith(Reason::WorkerUnknown);
    }
    if (tables.workers.get<WorkerCapacity>(command.worker).attempts > 0) {
        return resultWith(Reason::WorkerBusy);
    }
    if (phase == Phase::Execute) {
        tables.lookups.workers.erase(tables.workers.get<WorkerIdentity>(command.worker).name);
        tables.workers.erase(command.worker);
    }
    return {};
}

} // namespace flamingotally
