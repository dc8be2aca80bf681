/** @file attempt_func.h Tests of placements, and begin and end of attempts. Schedulers call only the tests. */
#pragma once

#include "command_func.h"

namespace flamingotally
{

/** Resources that earlier placements of the same command reserve, in addition to those reserved in the tables. */
struct PlacementReservations {
    absl::flat_hash_map<std::uint32_t, Resources> byWorker; ///< By index of the worker.
    absl::flat_hash_map<std::uint32_t, Resources> byTeam; ///< By index of the team.
    absl::flat_hash_map<std::uint32_t, std::uint32_t> byTask; ///< Number of placements, by index of the task.
};

/**
 * Tests one placement against the tables and the reservations of earlier placements of the same command.
 * @return `None` when the task may start on the worker, otherwise the reason against it.
 */
Reason testPlacement(const Tables &tables, const Placement &placement, const PlacementReservations &reservations);

/** Adds a placement to the reservations. The placement must have passed testPlacement(). */
void reservePlacement(const Tables &tables, const Placement &placement, PlacementReservations &reservations);

/** Returns the profile of an attempt's job, as copied when the job was accepted. */
const ProfileSpec &profileSpecOf(const Tables &tables, AttemptRef attempt);

/** Returns whether the worker of an attempt is in the failure domain of a daemon; false for an unknown daemon. */
bool isInDomainOf(const Tables &tables, AttemptRef attempt, DaemonRef daemon);

/**
 * Adds an attempt to the tables and reserves its resources; an order of a daemon starts it on the worker later. The
 * placement must have passed testPlacement().
 */
void beginAttempt(Tables &tables, const RecordContext &context, const Placement &placement);

/** Removes an attempt from the tables: releases its resources, and ends or requeues its task. */
void endAttempt(Tables &tables, const RecordContext &context, AttemptRef attempt, const AttemptEnd &end);

} // namespace flamingotally
