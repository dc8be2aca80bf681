/** @file worker_cmd.h Commands on workers. */
#pragma once

#include "command_func.h"

namespace flamingotally
{

CommandResult apply(Tables &tables, const RecordContext &context, const RegisterWorker &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const SetWorkerService &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const RemoveWorker &command, Phase phase);

} // namespace flamingotally
