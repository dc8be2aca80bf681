/** @file attempt_cmd.h Commands on attempts. */
#pragma once

#include "command_func.h"

namespace flamingotally
{

CommandResult apply(Tables &tables, const RecordContext &context, const PlaceTasks &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const EndAttempts &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const MarkLapsing &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const ConfirmLapsed &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const StopAttempts &command, Phase phase);

} // namespace flamingotally
