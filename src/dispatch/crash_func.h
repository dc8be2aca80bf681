/**
 * @file crash_func.h Finds the tasks that probably made a worker crash. Most runs on a crashed worker are sound, so
 * only those that it had begun last are suspected.
 */
#pragma once

#include "core/enum_table.h"
#include "dispatch/entry_base.h"

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

/** Returns the suspicion against a run if its worker has crashed since the worker's last response. */
Suspicion suspicionOf(const Entry &entry, RunRef run);

/**
 * Counts a crash of a worker for the tasks of the most suspected runs: those in the tables and those that
 * rememberSuspects() has noted. Does nothing for a worker that was draining. To be called before the runs are ended.
 */
void recordCrash(Entry &entry, WorkerRef worker, const TickTime &time);

/**
 * Notes the most suspected runs of a silent worker whose lease has expired. Whether the worker has crashed shows only
 * when it, or another worker at its address, responds. To be called before the runs are ended.
 */
void rememberSuspects(Entry &entry, WorkerRef worker, const TickTime &time);

/** Returns true while a worker is to be polled because it may turn out to have crashed under noted suspects. */
bool awaitsVerdict(const Entry &entry, WorkerRef worker, const TickTime &time);

} // namespace flamingotally::dispatch
