/** @file worker_type.h Workers and racks: addresses and states. */
#pragma once

#include "core/table.h"

namespace flamingotally
{

struct WorkerTag;
using WorkerRef = Ref<WorkerTag>;

struct RackTag;
using RackRef = Ref<RackTag>;

/** Whether a worker takes tasks. */
enum class WorkerService : std::uint8_t {
    Live, ///< Takes tasks.
    Leaving, ///< On the platform's list as leaving: takes no new task.
    SetAside, ///< Failed too much of what it started: takes probes only.
    End,
};

} // namespace flamingotally
