/** @file node_func.h Small helpers that several systems share. */
#pragma once

#include "node_base.h"

#include <algorithm>

namespace flamingotally
{

/**
 * Queues a command for the next batch.
 * @param node The daemon.
 * @param command The command.
 * @param time Time of the tick.
 * @param urgent Whether it closes the batch at once.
 * @param handle Caller who waits for its result; zero for none.
 * @return Address of the proposal, until its result is known.
 */
ProposalRef propose(Node &node, Command command, const TickTime &time, bool urgent = false, RequestHandle handle = 0);

/** Row of this daemon in the replicated tables; unset before its join was applied. */
DaemonRef selfRef(const Node &node);

/** Tells whether a daemon is this one or was heard lately, and is not leaving. */
bool isLiveDaemon(const Node &node, DaemonRef daemon, const TickTime &time);

/**
 * Chooses by rendezvous hashing the daemon that proposes placements on a worker and talks to it: a live daemon of the
 * worker's failure domain, or of any domain when that one has none.
 * @return Its address; unset when no daemon is live.
 */
DaemonRef ownerOf(const Node &node, WorkerRef worker, const TickTime &time);

/** Tells whether this daemon owns a worker. */
bool ownsWorker(const Node &node, WorkerRef worker, const TickTime &time);

/** Estimates the log's clock: its last stamp plus what has passed here since. A hint for proposals only. */
LogTime estimateLogTime(const Node &node, const TickTime &time);

/** Row for an attempt, made when it is not there. */
AttemptLink &attemptLinkOf(Node &node, AttemptNumber attempt);

/** Drops the row for an attempt. */
void dropAttemptLink(Node &node, AttemptNumber attempt);

/** Has the next tick run no later than the given time. The tick itself sets the latest time first. */
inline void wakeBy(Node &node, MonotonicTime at)
{
    node.nextWake = std::min(node.nextWake, at);
}

/** Counts a refusal. */
void countRefusal(Node &node, Reason reason);

/** Counts a retry. */
void countRetry(Node &node, RetryReason reason);

} // namespace flamingotally
