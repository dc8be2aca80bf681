#include "daemon_cmd.h"

#include "config_func.h"

namespace flamingotally
{

CommandResult apply(Tables &tables, const RecordContext &context, const JoinDaemon &command, Phase phase)
{
    const auto known = findRef(tables.lookups.daemons, command.name);
    if (known.isSet() && tables.daemons.get<DaemonIdentity>(known).incarnation >= command.incarnation) {
        return resultWith(Reason::DaemonSuperseded);
    }
    if (command.maxRecordVersion < tables.position.recordVersion) {
        return resultWith(Reason::VersionUnsupported);
    }
    if (phase == Phase::Test) {
        return {};
    }
    const DaemonIdentity identity{command.name,
                                  command.peerAddress,
                                  command.httpAddress,
                                  findOrCreateDomain(tables, context, command.domain),
                                  command.incarnation,
                                  command.maxRecordVersion};
    if (known.isSet()) {
        tables.daemons.get<DaemonIdentity>(known) = identity;
        tables.daemons.get<DaemonState>(known) = {};
    } else {
        tables.lookups.daemons[command.name] = tables.daemons.insert(identity, {});
    }
    return {};
}

CommandResult apply(Tables &tables, const RecordContext & /*context*/, const LeaveDaemon &command, Phase phase)
{
    const auto known = findRef(tables.lookups.daemons, command.name);
    if (!known.isSet()) {
        return resultWith(Reason::DaemonUnknown);
    }
    if (tables.daemons.get<DaemonIdentity>(known).incarnation != command.incarnation) {
        return resultWith(Reason::DaemonSuperseded);
    }
    if (phase == Phase::Test) {
        return {};
    }
    if (command.isRemoval) {
        tables.lookups.daemons.erase(command.name);
        tables.daemons.erase(known);
    } else {
        tables.daemons.get<DaemonState>(known).leaving = true;
    }
    return {};
}

CommandResult apply(Tables &tables, const RecordContext & /*context*/, const SwitchVersion &command, Phase phase)
{
    if (command.recordVersion != tables.position.recordVersion + 1) {
        return resultWith(Reason::VersionConflict);
    }
    bool isSupported = true;
    tables.daemons.forEach([&](DaemonRef it) {
        isSupported = isSupported && tables.daemons.get<DaemonIdentity>(it).maxRecordVersion >= command.recordVersion;
    });
    if (!isSupported) {
        return resultWith(Reason::VersionUnsupported);
    }
    if (phase == Phase::Execute) {
        tables.position.recordVersion = command.recordVersion;
    }
    return {};
}

CommandResult
apply(Tables & /*tables*/, const RecordContext & /*context*/, const SnapshotChunk & /*command*/, Phase /*phase*/)
{
    return {};
}

} // namespace flamingotally
