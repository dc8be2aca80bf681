/** @file worker_type.h Workers and racks: references and states. */
#pragma once

#include "core/table.h"

namespace flamingotally
{

struct WorkerTag;
using WorkerRef = Ref<WorkerTag>;

struct RackTag;
using RackRef = Ref<RackTag>;

/** Service state of a worker. */
enum class WorkerService : std::uint8_t {
    Live, ///< Accepts tasks.
    Leaving, ///< Cordoned: the platform's host list marks it as leaving, so it gets no new task.
    SetAside, ///< Too many of its attempts failed: gets at most one attempt at a time, as a probe.
    End,
};

} // namespace flamingotally
