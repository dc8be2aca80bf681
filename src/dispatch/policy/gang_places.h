/** @file gang_places.h When a worker will have places for tasks of a waiting gang, by the estimates of its runs. */
#pragma once

#include "core/digest.h"
#include "dispatch/policy/worker_evaluation.h"

#include <tuple>

namespace flamingotally::dispatch
{

/** A place for one task of a gang on a worker. */
struct GangPlace {
    WorkerRef worker;
    MonotonicTime readyAt{}; ///< When it is expected to be free; the latest time if no estimate is known.
    bool isFree = false; ///< It is free now.
    bool isKnown = true; ///< `readyAt` follows from estimates that no run has exceeded.
    std::size_t runsBefore = 0; ///< Number of runs that must end before.
    bool hasTicket = false; ///< The worker has a valid ticket.
    std::uint64_t order = 0; ///< Differs for each gang, so that gangs choose different ones of equal places.

    /** Returns the key by which places are chosen; lower ones are better. */
    auto key() const
    {
        return std::tuple(readyAt, runsBefore, !hasTicket, order);
    }
};

/** The expected end of a run. */
struct ExpectedEnd {
    MonotonicTime at{}; ///< The latest time if the step has no estimate.
    bool isKnown = true; ///< The step has an estimate, and the run has not exceeded it.
    Resources frees; ///< Capacity that the run uses.
};

/** Returns when a run is expected to end. One that exceeds its estimate is expected to need as much time again. */
inline ExpectedEnd expectedEndOf(const Entry &entry, RunRef run, MonotonicTime now)
{
    const auto &state = entry.work.runs.get<RunState>(run);
    const auto &estimate = stepOf(entry, groupOf(entry, run)).runEstimate;
    if (estimate == Milliseconds{0}) {
        return {MonotonicTime::max(), false, state.reservedOnWorker};
    }
    const auto at = std::max(state.placedAt, state.firstSentAt) + estimate;
    const bool isExceeded = at <= now;
    return {isExceeded ? now + (now - at) + Milliseconds{1} : at, !isExceeded, state.reservedOnWorker};
}

/** Returns the expected ends of the runs on a worker that end by themselves, the first one first. */
inline std::vector<ExpectedEnd> expectedEndsOn(const Entry &entry, WorkerRef worker, MonotonicTime now)
{
    std::vector<ExpectedEnd> ends;
    for (const auto run : entry.workers.table.get<WorkerLoad>(worker).runs) {
        if (!stepOf(entry, groupOf(entry, run)).endless) {
            ends.push_back(expectedEndOf(entry, run, now));
        }
    }
    std::ranges::sort(ends, {}, &ExpectedEnd::at);
    return ends;
}

/** Which places on a worker are searched. */
enum class PlaceSearch : std::uint8_t {
    Free, ///< Those that are free now.
    All, ///< Also those that will be free when runs have ended.
    End,
};

/**
 * Appends the places for tasks of a gang on a worker, the first free one first.
 * @param taken Capacity of the worker that the gang may not use.
 * @param limit Maximum number of places.
 */
inline void appendPlaces(const Entry &entry,
                         const WorkerEvaluation &evaluation,
                         WorkerRef worker,
                         const Resources &taken,
                         std::size_t limit,
                         PlaceSearch search,
                         std::vector<GangPlace> &places)
{
    const auto &load = entry.workers.table.get<WorkerLoad>(worker);
    const auto capacity = entry.workers.table.get<WorkerIdentity>(worker).capacity - taken;
    const auto most = std::min(limit, evaluation.tasksIn(capacity - load.usedByEndless));
    const auto from = std::max(evaluation.now(), entry.workers.table.get<WorkerHealth>(worker).exclusiveUntil);
    const auto order = digestOf(evaluation.group()) ^ digestOf(worker);
    const bool hasTicket = evaluation.evaluateTicket(worker) == Fit::Fits;
    GangPlace place{worker, from, from == evaluation.now(), true, 0, hasTicket, order};
    auto free = capacity - load.used;
    std::size_t found = 0;
    const auto appendUpTo = [&](std::size_t count) {
        for (; found < std::min(most, count); ++found) {
            places.push_back(place);
        }
    };
    appendUpTo(evaluation.tasksIn(free));
    if (found == most || search == PlaceSearch::Free) {
        return;
    }
    place.isFree = false;
    for (const auto &end : expectedEndsOn(entry, worker, evaluation.now())) {
        free += end.frees;
        place.readyAt = std::max(from, end.at);
        place.isKnown = place.isKnown && end.isKnown;
        ++place.runsBefore;
        appendUpTo(evaluation.tasksIn(free));
    }
}

} // namespace flamingotally::dispatch
