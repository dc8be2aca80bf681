#include "config_func.h"

namespace flamingotally
{

Reason testAuthor(const Tables &tables, const Author &author)
{
    if (!author.key.isSet()) {
        return Reason::None;
    }
    if (!tables.keys.contains(author.key)) {
        return Reason::KeyUnknown;
    }
    const auto &grant = tables.keys.get<KeyGrant>(author.key);
    if (grant.withdrawn) {
        return Reason::KeyWithdrawn;
    }
    return grant.role == KeyRole::Operator ? Reason::None : Reason::KeyLacksRole;
}

CommandResult recordChange(Tables &tables, const RecordContext &context, const Author &author, HistoryEntry entry)
{
    CommandResult result;
    result.version = entry.version;
    tables.history.insert({entry.kind,
                           std::string(entry.subject),
                           entry.version,
                           author.label,
                           context.offset,
                           context.time,
                           std::move(entry.detail)});
    return result;
}

DomainRef findOrCreateDomain(Tables &tables, const RecordContext &context, const std::string &name)
{
    if (const auto known = findRef(tables.lookups.domains, name); known.isSet()) {
        return known;
    }
    DomainState state;
    state.changedAt = context.time;
    const auto created = tables.domains.insert({name}, state);
    tables.lookups.domains[name] = created;
    return created;
}

} // namespace flamingotally
