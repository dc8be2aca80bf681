/** @file node_func.h Helper functions shared by several systems. */
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
 * @param urgent Whether the command waits Settings::urgentLinger, not Settings::lazyLinger, for others to join its
 * batch.
 * @param handle Request that waits for the result of the command; zero for none.
 * @return Reference to the proposal; stale once the result of the command is known.
 */
ProposalRef propose(Node &node, Command command, const TickTime &time, bool urgent = false, RequestHandle handle = 0);

/** Returns the row of this incarnation of this daemon in the replicated tables; unset before its join was applied. */
DaemonRef selfRef(const Node &node);

/**
 * Returns whether a daemon is live, that is, not leaving. This daemon must also be serving; a peer must also have sent
 * a heartbeat of its present incarnation within the peer time-out.
 */
bool isLiveDaemon(const Node &node, DaemonRef daemon, const TickTime &time);

/**
 * Selects, by rendezvous hashing, the daemon that proposes placements on a worker and sends orders to it: a live daemon
 * of the worker's failure domain, or of any domain when that domain has no live daemon.
 * @return Reference to the daemon; unset when no daemon is live.
 */
DaemonRef ownerOf(const Node &node, WorkerRef worker, const TickTime &time);

/** Returns whether this daemon owns a worker. */
bool ownsWorker(const Node &node, WorkerRef worker, const TickTime &time);

/**
 * Estimates the present time of the log's clock: the time of the last record plus the time since that record arrived.
 * Used only as a hint for proposals.
 */
LogTime estimateLogTime(const Node &node, const TickTime &time);

/** Returns the local row of an attempt; creates it if it does not exist. */
AttemptLink &attemptLinkOf(Node &node, AttemptNumber attempt);

/** Deletes the local row of an attempt, if it exists. */
void dropAttemptLink(Node &node, AttemptNumber attempt);

/**
 * Requests that the next tick run no later than the given time. At its start, each tick resets the time to the latest
 * one allowed.
 */
inline void wakeBy(Node &node, MonotonicTime at)
{
    node.nextWake = std::min(node.nextWake, at);
}

/** Counts a refusal of a caller's request in the metrics. */
void countRefusal(Node &node, Reason reason);

/** Counts a retry in the metrics. */
void countRetry(Node &node, RetryReason reason);

} // namespace flamingotally
