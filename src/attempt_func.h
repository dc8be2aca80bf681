/** @file attempt_func.h Start and end of attempts. Commands call these functions; schedulers use the tests. */
#pragma once

#include "command_func.h"

namespace flamingotally
{

/** Resources reserved by the earlier placements of a command, in addition to those in the tables. */
struct PlacementReservations {
    absl::flat_hash_map<std::uint32_t, Resources> byWorker; ///< By index of the worker.
    absl::flat_hash_map<std::uint32_t, Resources> byTeam; ///< By index of the team.
    absl::flat_hash_map<std::uint32_t, std::uint32_t> byTask; ///< By index of the task: number of placements.
};

/**
 * Tests one placement against the tables and the reservations of earlier placements of the same command.
 * @return `None` when the task may start on the worker, otherwise the reason against it.
 */
Reason testPlacement(const Tables &tables, const Placement &placement, const PlacementReservations &reservations);

/** Adds a placement that passed the test to the reservations. */
void reservePlacement(const Tables &tables, const Placement &placement, PlacementReservations &reservations);

/** Returns the copy of the profile that applies to an attempt's job. */
const ProfileSpec &profileSpecOf(const Tables &tables, AttemptRef attempt);

/** Returns whether an attempt runs in the failure domain of a daemon; false for an unknown daemon. */
bool isInDomainOf(const Tables &tables, AttemptRef attempt, DaemonRef daemon);

/** Starts an attempt. The placement must have passed the test. */
void beginAttempt(Tables &tables, const RecordContext &context, const Placement &placement);

/** Ends an attempt: frees its resources, and ends or requeues its task. */
void endAttempt(Tables &tables, const RecordContext &context, AttemptRef attempt, const AttemptEnd &end);

} // namespace flamingotally
