/**
 * @file systems.h The systems, in the order of the tick. Each is a free function over the node's tables: it reads
 * inboxes and tables, and writes tables, proposals and outboxes. None waits, none touches a socket.
 */
#pragma once

#include "node_base.h"

namespace flamingotally
{

/** Applies records that arrived, in order, and hands results to the proposals they came from. */
void readLogSystem(Node &node, const TickTime &time);

/** Judges how old the view is, and asks for the next read of the log, or of a peer while the log is silent. */
void freshnessSystem(Node &node, const TickTime &time);

/** Joins the cell, takes in and sends heartbeats, proposes what the host list says. */
void membershipSystem(Node &node, const TickTime &time);

/** Takes in workers' reports; sends starts, renewals and stops; marks and confirms lapses. */
void leaseSystem(Node &node, const TickTime &time);

/** Judges callers' requests and turns them into proposals. */
void admissionSystem(Node &node, const TickTime &time);

/** Proposes placements of waiting tasks, preemptions and drains. */
void schedulingSystem(Node &node, const TickTime &time);

/** Withdraws what waited too long, expires old rows, sets failing workers aside. */
void housekeepingSystem(Node &node, const TickTime &time);

/** Writes snapshots and the digest of the tables. */
void snapshotSystem(Node &node, const TickTime &time);

/** Closes a batch of proposals and appends it; resends one whose answer is lost. */
void appendSystem(Node &node, const TickTime &time);

/** Answers callers whose proposal was read back, whose job has ended, or who waited long enough. */
void answerSystem(Node &node, const TickTime &time);

/** Moves the phase: catching up, serving, draining, drained. */
void lifecycleSystem(Node &node, const TickTime &time);

/** Runs all systems once, in order, and sets the time of the next tick. */
void tick(Node &node, const TickTime &time);

} // namespace flamingotally
