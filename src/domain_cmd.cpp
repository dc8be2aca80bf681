#include "domain_cmd.h"

#include "config_func.h"

namespace flamingotally
{

namespace
{

Reason test(const Tables &tables, const SetDomain &command)
{
    if (const auto reason = testAuthor(tables, command.author); reason != Reason::None) {
        return reason;
    }
    const auto domain = findRef(tables.lookups.domains, command.name);
    if (!domain.isSet()) {
        return Reason::DomainUnknown;
    }
    const auto &state = tables.domains.get<DomainState>(domain);
    if (state.version != command.expectedVersion) {
        return Reason::VersionConflict;
    }
    return state.service == command.service ? Reason::DomainAlreadyInState : Reason::None;
}

} // namespace

CommandResult apply(Tables &tables, const RecordContext &context, const SetDomain &command, Phase phase)
{
    if (const auto reason = test(tables, command); reason != Reason::None || phase == Phase::Test) {
        return resultWith(reason);
    }
    auto &state = tables.domains.get<DomainState>(findRef(tables.lookups.domains, command.name));
    state.service = command.service;
    state.changedAt = context.time;
    ++state.version;
    const auto kind = command.service == DomainService::In ? ChangeKind::DomainIn : ChangeKind::DomainOut;
    return recordChange(tables, context, command.author, {kind, command.name, state.version, {}});
}

} // namespace flamingotally
