/** @file profile_cmd.h Commands on profiles. */
#pragma once

#include "command_func.h"

namespace flamingotally
{

CommandResult apply(Tables &tables, const RecordContext &context, const PublishProfile &command, Phase phase);
CommandResult apply(Tables &tables, const RecordContext &context, const DeleteProfile &command, Phase phase);

} // namespace flamingotally
