/** @file job_cmd.h Commands on jobs and requests. */
#pragma once

#include "command_func.h"

namespace flamingotally
{

CommandResult apply(Tables &tables, const RecordContext &context, const SubmitJob &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const CancelJob &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const WithdrawTasks &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const ExpireRecords &command, Phase phase);

} // namespace flamingotally
