/**
 * @file systems.h The systems. Each is a free function over the node's tables: it reads inboxes and tables, and writes
 * tables, proposals and outboxes. No system blocks or uses a socket. tick() runs them in a fixed order.
 */
#pragma once

#include "node_base.h"

namespace flamingotally
{

/** Applies the received records in order, and stores the results of this daemon's proposals in their waiters. */
void readLogSystem(Node &node, const TickTime &time);

/** Updates the age of the tables, and requests records from the log, or from a peer if the log is unreachable. */
void freshnessSystem(Node &node, const TickTime &time);

/** Joins the cell, receives and sends heartbeats, and proposes the changes that follow from the host list. */
void membershipSystem(Node &node, const TickTime &time);

/**
 * Processes reports of workers, and sends starts, lease renewals and stops. Proposes to mark attempts whose lease has
 * lapsed, and later to confirm the lapse.
 */
void leaseSystem(Node &node, const TickTime &time);

/** Refuses requests of callers, or adds a waiter for the response and, for a change, a proposal. */
void admissionSystem(Node &node, const TickTime &time);

/** Proposes placements of waiting tasks, preemptions and drains. */
void schedulingSystem(Node &node, const TickTime &time);

/**
 * Proposes to end tasks that waited too long or fail persistently, to stop attempts that exceed their maximum run time,
 * to expire old rows, and to set failing workers aside.
 */
void housekeepingSystem(Node &node, const TickTime &time);

/** Writes and loads snapshots, and compares the digest of the tables with those of peers. */
void snapshotSystem(Node &node, const TickTime &time);

/** Closes a batch of proposals and appends it to the log; resends a batch whose response is lost. */
void appendSystem(Node &node, const TickTime &time);

/** Sends responses to callers whose proposal was applied, whose job has ended, or whose wait has timed out. */
void responseSystem(Node &node, const TickTime &time);

/** Updates the phase of the daemon: catching up, serving, draining, drained. */
void lifecycleSystem(Node &node, const TickTime &time);

/** Runs all systems once, in order, and sets the time of the next tick. */
void tick(Node &node, const TickTime &time);

} // namespace flamingotally
