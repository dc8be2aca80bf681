/** @file snapshot_work.h Parts of the snapshot system: digests at agreed offsets, loading, writing. */
#pragma once

#include "node_func.h"

namespace flamingotally
{

/**
 * Follows the log record by record: digests the tables at the offsets that all daemons agree on, and watches
 * snapshots pass. Called after each applied record.
 * @param node The daemon.
 * @param entry The record.
 * @param before Time of the log before the record was applied.
 * @param time Now.
 */
void noteApplied(Node &node, const LogEntry &entry, LogTime before, const TickTime &time);

/**
 * Time between two digests, by the log's clock. It grows with the tables, so that digests take the same share of a
 * core at any size and at any rate of records. Each interval is a multiple of the smaller ones.
 */
Milliseconds digestInterval(const Tables &tables);

/** Compares the digests of peers with the own one at the same offset. A contradicted daemon loads its tables anew. */
void compareDigests(Node &node, const TickTime &time);

/** Tells whether this daemon may take work as far as its snapshot is concerned. */
bool isSnapshotTrusted(const Node &node, const TickTime &time);

/** Begins to look for a snapshot when records are missing here, or too many to replay. */
void seekWhenNeeded(Node &node, const TickTime &time);

/** Drops the tables and looks for a snapshot in the log. */
void beginSeek(Node &node);

/** Goes on with a load that is under way. */
void continueLoad(Node &node, const TickTime &time);

/** Writes a snapshot into the log when it is due and this daemon is the one to do it. */
void writeSnapshots(Node &node, const TickTime &time);

} // namespace flamingotally
