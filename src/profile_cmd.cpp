#include "profile_cmd.h"

#include "config_func.h"
#include "profile_func.h"

namespace flamingotally
{

namespace
{

/** Returns the version of a profile; zero for a profile that does not exist. */
std::uint64_t versionOf(const Tables &tables, ProfileRef profile)
{
    return profile.isSet() ? tables.profiles.get<ProfileIdentity>(profile).version : 0;
}

bool isNegative(Milliseconds duration)
{
    return duration < Milliseconds::zero();
}

Reason test(const Tables &tables, const PublishProfile &command)
{
    if (const auto reason = testAuthor(tables, command.author); reason != Reason::None) {
        return reason;
    }
    if (command.name.empty() || !profileError(command.spec).empty()) {
        return Reason::ProfileInvalid;
    }
    if (!command.spec.team.empty()) {
        const auto team = findRef(tables.lookups.teams, command.spec.team);
        if (!team.isSet() || tables.teams.get<TeamPolicy>(team).deleted) {
            return Reason::TeamUnknown;
        }
    }
    const auto profile = findRef(tables.lookups.profiles, command.name);
    return versionOf(tables, profile) == command.expectedVersion ? Reason::None : Reason::VersionConflict;
}

Reason test(const Tables &tables, const DeleteProfile &command)
{
    if (const auto reason = testAuthor(tables, command.author); reason != Reason::None) {
        return reason;
    }
    const auto profile = findRef(tables.lookups.profiles, command.name);
    if (!profile.isSet() || tables.profiles.get<ProfileIdentity>(profile).deleted) {
        return Reason::ProfileUnknown;
    }
    return versionOf(tables, profile) == command.expectedVersion ? Reason::None : Reason::VersionConflict;
}

} // namespace

std::string_view profileError(const ProfileSpec &spec)
{
    if (spec.lease < profilelimits::minLease || spec.lease > profilelimits::maxLease) {
        return "lease must be between 1 s and 600 s";
    }
    if (spec.maxRetries > profilelimits::maxRetries) {
        return "maxRetries must not be above 100";
    }
    if (isNegative(spec.retryBackoff) || spec.retryBackoff > profilelimits::maxBackoff) {
        return "retryBackoff must be between 0 and 60 s";
    }
    if (isNegative(spec.maxWait) || isNegative(spec.maxRun)) {
        return "maxWait and maxRun must not be negative";
    }
    if (!spec.idempotent && (spec.maxRetries > 0 || spec.checkpoint)) {
        return "work that is not idempotent must have neither retries nor checkpoints";
    }
    if (spec.kind == WorkKind::Service && (!spec.idempotent || spec.maxRun > Milliseconds::zero())) {
        return "a service must be idempotent and must not have a maxRun";
    }
    if (spec.access == QueueAccess::Open && spec.team.empty()) {
        return "an open profile must name the team that its work counts against";
    }
    return {};
}

CommandResult apply(Tables &tables, const RecordContext &context, const PublishProfile &command, Phase phase)
{
    if (const auto reason = test(tables, command); reason != Reason::None || phase == Phase::Test) {
        return resultWith(reason);
    }
    const ProfileIdentity identity{command.name, command.expectedVersion + 1, false};
    if (const auto known = findRef(tables.lookups.profiles, command.name); known.isSet()) {
        tables.profiles.get<ProfileIdentity>(known) = identity;
        tables.profiles.get<ProfileSpec>(known) = command.spec;
    } else {
        tables.lookups.profiles[command.name] = tables.profiles.insert(identity, command.spec);
    }
    return recordChange(tables,
                        context,
                        command.author,
                        {ChangeKind::ProfilePublished, command.name, identity.version, command.source});
}

CommandResult apply(Tables &tables, const RecordContext &context, const DeleteProfile &command, Phase phase)
{
    if (const auto reason = test(tables, command); reason != Reason::None || phase == Phase::Test) {
        return resultWith(reason);
    }
    auto &identity = tables.profiles.get<ProfileIdentity>(findRef(tables.lookups.profiles, command.name));
    identity.deleted = true;
    ++identity.version;
    return recordChange(
        tables, context, command.author, {ChangeKind::ProfileDeleted, command.name, identity.version, {}});
}

} // namespace flamingotally
