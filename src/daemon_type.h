/** @file daemon_type.h Entry daemons: references. */
#pragma once

#include "core/table.h"

namespace flamingotally
{

struct DaemonTag;
using DaemonRef = Ref<DaemonTag>;

} // namespace flamingotally
