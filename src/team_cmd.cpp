#include "team_cmd.h"

#include "config_func.h"

#include <fmt/format.h>

#include <algorithm>

namespace flamingotally
{

namespace
{

constexpr std::uint32_t maxShare = 1'000'000;

/** Returns the version of a team; zero for a team that does not exist. */
std::uint64_t versionOf(const Tables &tables, TeamRef team)
{
    return team.isSet() ? tables.teams.get<TeamPolicy>(team).version : 0;
}

Reason test(const Tables &tables, const SetTeam &command)
{
    if (const auto reason = testAuthor(tables, command.author); reason != Reason::None) {
        return reason;
    }
    const auto &policy = command.policy;
    const bool isShareValid = policy.share >= 1 && policy.share <= maxShare;
    if (command.name.empty() || !isShareValid || !policy.limit.isNonNegative()) {
        return Reason::MalformedRequest;
    }
    const auto team = findRef(tables.lookups.teams, command.name);
    return versionOf(tables, team) == command.expectedVersion ? Reason::None : Reason::VersionConflict;
}

Reason test(const Tables &tables, const DeleteTeam &command)
{
    if (const auto reason = testAuthor(tables, command.author); reason != Reason::None) {
        return reason;
    }
    const auto team = findRef(tables.lookups.teams, command.name);
    if (!team.isSet()) {
        return Reason::TeamUnknown;
    }
    if (tables.teams.get<TeamPolicy>(team).deleted) {
        return Reason::TeamDeleted;
    }
    return versionOf(tables, team) == command.expectedVersion ? Reason::None : Reason::VersionConflict;
}

/** Returns whether any key, withdrawn or not, has this digest. */
bool isDigestKnown(const Tables &tables, const KeyDigest &digest)
{
    bool found = false;
    tables.keys.forEach([&](KeyRef it) { found = found || tables.keys.get<KeyGrant>(it).digest == digest; });
    return found;
}

/** Tests the team of a new key: none for an operator, otherwise an existing team. */
Reason testKeyTeam(const Tables &tables, const GrantKey &command)
{
    if (command.role == KeyRole::Operator) {
        return command.team.empty() ? Reason::None : Reason::MalformedRequest;
    }
    const auto team = findRef(tables.lookups.teams, command.team);
    if (!team.isSet()) {
        return Reason::TeamUnknown;
    }
    return tables.teams.get<TeamPolicy>(team).deleted ? Reason::TeamDeleted : Reason::None;
}

Reason test(const Tables &tables, const GrantKey &command)
{
    if (const auto reason = testAuthor(tables, command.author); reason != Reason::None) {
        return reason;
    }
    if (command.label.empty()) {
        return Reason::MalformedRequest;
    }
    if (findRef(tables.lookups.keys, command.label).isSet() || isDigestKnown(tables, command.digest)) {
        return Reason::KeyExists;
    }
    return testKeyTeam(tables, command);
}

Reason test(const Tables &tables, const WithdrawKey &command)
{
    if (const auto reason = testAuthor(tables, command.author); reason != Reason::None) {
        return reason;
    }
    const auto key = findRef(tables.lookups.keys, command.label);
    if (!key.isSet()) {
        return Reason::KeyUnknown;
    }
    return tables.keys.get<KeyGrant>(key).withdrawn ? Reason::KeyWithdrawn : Reason::None;
}

/** Returns the values of a policy as text for the history. */
std::string describe(const TeamPolicy &policy)
{
    return fmt::format("share={} cpuMilli={} memoryMb={} accelerators={} queueLimit={}",
                       policy.share,
                       policy.limit.cpuMilli,
                       policy.limit.memoryMb,
                       policy.limit.accelerators,
                       policy.queueLimit);
}

} // namespace

CommandResult apply(Tables &tables, const RecordContext &context, const SetTeam &command, Phase phase)
{
    if (const auto reason = test(tables, command); reason != Reason::None || phase == Phase::Test) {
        return resultWith(reason);
    }
    auto policy = command.policy;
    policy.version = command.expectedVersion + 1;
    policy.deleted = false;
    if (const auto known = findRef(tables.lookups.teams, command.name); known.isSet()) {
        tables.teams.get<TeamPolicy>(known) = policy;
    } else {
        tables.lookups.teams[command.name] = tables.teams.insert({command.name}, policy, {});
    }
    return recordChange(
        tables, context, command.author, {ChangeKind::TeamSet, command.name, policy.version, describe(policy)});
}

CommandResult apply(Tables &tables, const RecordContext &context, const DeleteTeam &command, Phase phase)
{
    if (const auto reason = test(tables, command); reason != Reason::None || phase == Phase::Test) {
        return resultWith(reason);
    }
    auto &policy = tables.teams.get<TeamPolicy>(findRef(tables.lookups.teams, command.name));
    policy.deleted = true;
    ++policy.version;
    return recordChange(tables, context, command.author, {ChangeKind::TeamDeleted, command.name, policy.version, {}});
}

CommandResult apply(Tables &tables, const RecordContext &context, const GrantKey &command, Phase phase)
{
    if (const auto reason = test(tables, command); reason != Reason::None || phase == Phase::Test) {
        return resultWith(reason);
    }
    KeyGrant grant;
    grant.label = command.label;
    grant.digest = command.digest;
    grant.team = findRef(tables.lookups.teams, command.team);
    grant.role = command.role;
    grant.changedAt = context.time;
    tables.lookups.keys[command.label] = tables.keys.insert(std::move(grant));
    return recordChange(tables, context, command.author, {ChangeKind::KeyGranted, command.label, 1, command.team});
}

CommandResult apply(Tables &tables, const RecordContext &context, const WithdrawKey &command, Phase phase)
{
    if (const auto reason = test(tables, command); reason != Reason::None || phase == Phase::Test) {
        return resultWith(reason);
    }
    auto &grant = tables.keys.get<KeyGrant>(findRef(tables.lookups.keys, command.label));
    grant.withdrawn = true;
    grant.changedAt = context.time;
    return recordChange(tables, context, command.author, {ChangeKind::KeyWithdrawn, command.label, 2, {}});
}

} // namespace flamingotally
