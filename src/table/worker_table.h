/** @file worker_table.h Names of the service states of workers. */
#pragma once

#include "core/enum_table.h"
#include "worker_type.h"

namespace flamingotally
{

constexpr EnumTable<WorkerService> workerServiceTable{{
    {WorkerService::Live, "live"},
    {WorkerService::Leaving, "leaving"},
    {WorkerService::SetAside, "set_aside"},
}};
static_assert(isComplete(workerServiceTable));

} // namespace flamingotally
