/** @file team_cmd.h Commands on teams and keys. */
#pragma once

#include "command_func.h"

namespace flamingotally
{

CommandResult apply(Tables &tables, const RecordContext &context, const SetTeam &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const DeleteTeam &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const GrantKey &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const WithdrawKey &command, Phase phase);

} // namespace flamingotally
