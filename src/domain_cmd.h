/** @file domain_cmd.h Commands on failure domains. */
#pragma once

#include "command_func.h"

namespace flamingotally
{

CommandResult apply(Tables &tables, const RecordContext &context, const SetDomain &command, Phase phase);

}
