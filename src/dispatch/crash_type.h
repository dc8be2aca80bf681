/** @file crash_type.h Suspicion against runs of a worker that has crashed. */
#pragma once

#include "core/enum_table.h"
#include "dispatch/job_type.h"

namespace flamingotally::dispatch
{

/** How likely a run made its worker crash, in ascending order. */
enum class Suspicion : std::uint8_t {
    None, ///< No start order was sent, or the run had been running for long.
    Unsettled, ///< It had not been running for long.
    UnsettledAgain, ///< The same, and its task is already suspected of an earlier crash.
    Recent, ///< Its start was not confirmed, or was ordered shortly before the worker's last response or later.
    RecentAgain, ///< The same, and its task is already suspected of an earlier crash.
    End,
};

/** Name of a suspicion. */
struct SuspicionRow {
    Suspicion value;
    std::string_view name;
};

constexpr EnumTable<Suspicion, SuspicionRow> suspicionTable{{
    {Suspicion::None, "none"},
    {Suspicion::Unsettled, "unsettled"},
    {Suspicion::UnsettledAgain, "unsettled_again"},
    {Suspicion::Recent, "recent"},
    {Suspicion::RecentAgain, "recent_again"},
}};
static_assert(isComplete(suspicionTable));

/** A run that may have made its worker crash. */
struct SuspectRun {
    TaskRef task;
    RunNumber number = 0;
    Suspicion suspicion = Suspicion::None;
};

} // namespace flamingotally::dispatch
