#include "command_func.h"

#include "attempt_cmd.h"
#include "daemon_cmd.h"
#include "domain_cmd.h"
#include "job_cmd.h"
#include "profile_cmd.h"
#include "team_cmd.h"
#include "worker_cmd.h"

#include <algorithm>

namespace flamingotally
{

namespace
{

/** Returns whether the first command of a batch joins its proposer with a newer incarnation than the known one. */
bool beginsWithJoin(const Tables &tables, const Batch &batch)
{
    if (batch.commands.empty()) {
        return false;
    }
    const auto *join = std::get_if<JoinDaemon>(&batch.commands.front());
    if (join == nullptr || join->name != batch.daemon || join->incarnation != batch.incarnation) {
        return false;
    }
    const auto known = findRef(tables.lookups.daemons, batch.daemon);
    return !known.isSet() || tables.daemons.get<DaemonIdentity>(known).incarnation < batch.incarnation;
}

/**
 * Tests a batch as a whole: whether its record version is switched on, whether its proposer has joined with the same
 * incarnation, and whether the batch was applied before.
 */
Reason testBatch(const Tables &tables, const Batch &batch)
{
    if (batch.recordVersion > tables.position.recordVersion) {
        return Reason::VersionUnsupported;
    }
    if (beginsWithJoin(tables, batch)) {
        return Reason::None;
    }
    const auto proposer = findRef(tables.lookups.daemons, batch.daemon);
    if (!proposer.isSet()) {
        return Reason::DaemonUnknown;
    }
    if (tables.daemons.get<DaemonIdentity>(proposer).incarnation != batch.incarnation) {
        return Reason::DaemonSuperseded;
    }
    if (batch.sequence <= tables.daemons.get<DaemonState>(proposer).lastSequence) {
        return Reason::BatchRepeated;
    }
    return Reason::None;
}

} // namespace

CommandResult applyCommand(Tables &tables, const RecordContext &context, const Command &command, Phase phase)
{
    auto result = std::visit([&](const auto &it) { return apply(tables, context, it, phase); }, command);
    result.offset = context.offset;
    return result;
}

BatchResult applyEntry(Tables &tables, const LogEntry &entry)
{
    tables.position.nextOffset = entry.offset + 1;
    tables.position.time = std::max(tables.position.time, entry.appendedAt);
    if (entry.state != EntryState::Readable) {
        return {Reason::MalformedRequest, {}};
    }
    const auto &batch = entry.batch;
    if (const auto reason = testBatch(tables, batch); reason != Reason::None) {
        return {reason, {}};
    }
    BatchResult result;
    for (const auto &it : batch.commands) {
        const RecordContext context{entry.offset, tables.position.time, findRef(tables.lookups.daemons, batch.daemon)};
        result.commands.push_back(applyCommand(tables, context, it));
    }
    if (const auto proposer = findRef(tables.lookups.daemons, batch.daemon); proposer.isSet()) {
        tables.daemons.get<DaemonState>(proposer).lastSequence = batch.sequence;
    }
    return result;
}

} // namespace flamingotally
