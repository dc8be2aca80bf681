/** @file stage_table.h Names of the stages of a job, for logs. */
#pragma once

#include "dispatch/stage_type.h"

namespace flamingotally::dispatch
{

constexpr EnumTable<Stage> stageTable{{
    {Stage::Owner, "owner"},
    {Stage::EarlierRuns, "earlier_runs"},
    {Stage::Advice, "advice"},
    {Stage::Capacity, "capacity"},
    {Stage::Append, "append"},
    {Stage::Order, "order"},
    {Stage::Confirmation, "confirmation"},
    {Stage::Run, "run"},
}};
static_assert(isComplete(stageTable));

} // namespace flamingotally::dispatch
