/** @file daemon_cmd.h Commands on entry daemons, record versions and snapshots. */
#pragma once

#include "command_func.h"

namespace flamingotally
{

CommandResult apply(Tables &tables, const RecordContext &context, const JoinDaemon &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const LeaveDaemon &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const SwitchVersion &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const SnapshotChunk &command, Phase phase);

} // namespace flamingotally
