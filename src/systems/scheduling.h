/** @file scheduling.h Places jobs that are not in the log yet, and declares the parts of the scheduling system. */
#pragma once

#include "node_base.h"

namespace flamingotally
{

/**
 * Chooses workers for a job that is not in the log yet, so that its acceptance and its start share one record.
 * @param node The daemon. Uses the capacity that its last plan left free.
 * @param job The job, as it will be proposed. Its placements are not read.
 * @param team The team whose limit applies to the job.
 * @param time Time of the tick.
 * @return Placements on workers of this daemon, for as many tasks as there is capacity; all or none for a gang. Empty
 * if work that takes precedence is waiting.
 */
std::vector<InitialPlacement> planNewJob(Node &node, const SubmitJob &job, TeamRef team, const TickTime &time);

/** Resources that a proposed placement needs on a worker. */
struct ProposedAllocation {
    WorkerRef worker;
    TeamRef team;
    Resources amount;
};

/** Work that this daemon has proposed and not read back yet. */
struct ProposedWork {
    TaskKeySet tasks; ///< Tasks whose placement or withdrawal is proposed.
    AttemptNumberSet stops; ///< Attempts whose stop is proposed.
    std::vector<ProposedAllocation> allocations; ///< Resources of the proposed placements.
};

/** Collects the work that is proposed and not read back yet. */
ProposedWork collectProposedWork(const Node &node);

/**
 * Proposes to stop attempts on this daemon's workers that are leaving or whose failure domain is out of service, so
 * that the tasks continue elsewhere. Tasks of services are stopped in waves; other tasks only if they can be
 * checkpointed.
 */
void drainWorkers(Node &node, const AttemptNumberSet &proposedStops, const TickTime &time);

/**
 * Proposes to stop attempts, in as few commands as the maximum size of a command allows.
 * @param attempts The attempts.
 * @param cause Reason of the stop.
 */
void proposeStops(Node &node, const std::vector<AttemptNumber> &attempts, StopCause cause, const TickTime &time);

/**
 * Returns true if this daemon may propose placements: it is serving, its view is fresh, and it has read the host list
 * within the fence, so that it knows which workers are leaving.
 */
bool mayProposePlacements(const Node &node, const TickTime &time);

/**
 * Returns true if this daemon is the one, of all live daemons, that withdraws late tasks of a job and takes over
 * their overdue placements.
 */
bool isResponsibleFor(const Node &node, JobRef job, const TickTime &time);

} // namespace flamingotally
