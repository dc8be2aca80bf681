/** @file attempt_func.h How attempts begin and end. Called by commands; schedulers use the tests. */
#pragma once

#include "command_func.h"

namespace flamingotally
{

/** What placements of one command have taken so far, on top of the tables. */
struct PlacementScratch {
    absl::flat_hash_map<std::uint32_t, Resources> byWorker; ///< By index of the worker.
    absl::flat_hash_map<std::uint32_t, Resources> byTeam; ///< By index of the team.
    absl::flat_hash_map<std::uint32_t, std::uint32_t> byTask; ///< By index of the task: how often it was placed.
};

/**
 * Judges one placement against the tables and what earlier placements of the same command have taken.
 * @return `None` when the task may start on the worker.
 */
Reason testPlacement(const Tables &tables, const Placement &placement, const PlacementScratch &scratch);

/** Enters a placement that passed the test into the scratch. */
void takePlacement(const Tables &tables, const Placement &placement, PlacementScratch &scratch);

/** The profile's values by which an attempt's job is treated. */
const ProfileSpec &profileSpecOf(const Tables &tables, AttemptRef attempt);

/** Tells whether an attempt runs in the failure domain of a daemon; false for a daemon that is not known. */
bool isInDaemonDomain(const Tables &tables, AttemptRef attempt, DaemonRef daemon);

/** Begins an attempt. The placement has passed the test. */
void beginAttempt(Tables &tables, const RecordContext &context, const Placement &placement);

/** Ends an attempt: frees what it held, and ends its task or puts it back into the queue. */
void endAttempt(Tables &tables, const RecordContext &context, AttemptRef attempt, const AttemptEnd &end);

} // namespace flamingotally
