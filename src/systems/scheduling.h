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
std::vector<FirstPlacement> planNewJob(Node &node, const SubmitJob &job, TeamRef team, const TickTime &time);

/** What this daemon has proposed and not read back yet. */
struct ProposedWork {
    TaskKeySet tasks; ///< Tasks whose placement is proposed.
    AttemptNumberSet stops; ///< Attempts whose stop is proposed.
};

/**
 * Collects what is proposed and not read back.
 * @param node The daemon. The room that proposals need is taken from its scratch.
 */
ProposedWork collectProposed(Node &node);

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
 * Chooses by rendezvous hashing, among all live daemons, the one that sees to something.
 * @param key Digest of what is seen to.
 * @return Whether it is this daemon.
 */
bool isHomeOf(const Node &node, std::uint64_t key, const TickTime &time);

} // namespace flamingotally
