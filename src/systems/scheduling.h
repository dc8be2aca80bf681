/** @file scheduling.h Placing a job before it is in the log, and pieces of the scheduling system. */
#pragma once

#include "node_base.h"

namespace flamingotally
{

/**
 * Chooses workers for a job that is not in the log yet, so that its acceptance and its start ride in one record.
 * @param node The daemon. The room is taken from what its last plan left.
 * @param job The job, as it will be proposed. Its placements are not read.
 * @param team The team that it counts against.
 * @param time Time of the tick.
 * @return Workers of this daemon, for as many tasks as there is room; all or none for a gang. Empty when work that
 * goes before it waits.
 */
std::vector<InitialPlacement> planNewJob(Node &node, const SubmitJob &job, TeamRef team, const TickTime &time);

/** Room that a proposed placement needs. */
struct ProposedRoom {
    WorkerRef worker;
    TeamRef team;
    Resources amount;
};

/** What this daemon has proposed and not read back yet. */
struct ProposedWork {
    TaskKeySet tasks; ///< Tasks whose placement or withdrawal is proposed.
    AttemptNumberSet stops; ///< Attempts whose stop is proposed.
    std::vector<ProposedRoom> rooms;
};

/** Collects what is proposed and not read back. */
ProposedWork collectProposed(const Node &node);

/**
 * Stops services and what can be checkpointed on workers that leave and in failure domains out of service, so that
 * it goes on elsewhere. Services go in waves.
 */
void drainWorkers(Node &node, const AttemptNumberSet &stopsInHand, const TickTime &time);

/**
 * Proposes stops, as few commands as the size of a command allows.
 * @param attempts The attempts.
 * @param cause Why they are stopped.
 */
void proposeStops(Node &node, const std::vector<AttemptNumber> &attempts, StopCause cause, const TickTime &time);

/**
 * Tells whether this daemon may propose placements: it serves, its view is fresh, and it has read the host list within
 * the fence, so that it knows which workers leave.
 */
bool mayPlace(const Node &node, const TickTime &time);

/** Tells whether this daemon, of all that live, sees to a job's waiting tasks. */
bool isHomeOf(const Node &node, JobRef job, const TickTime &time);

} // namespace flamingotally
