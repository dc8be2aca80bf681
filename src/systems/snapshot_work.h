/** @file snapshot_work.h Parts of the snapshot system: digests at agreed offsets, loading and writing of snapshots. */
#pragma once

#include "node_func.h"

namespace flamingotally
{

/**
 * Computes the digest of the tables at the offsets that all daemons agree on, and tracks the snapshots in the log.
 * Called after each applied record.
 * @param node The daemon.
 * @param entry The record.
 * @param before Time of the log before the record was applied.
 * @param time Time of the tick.
 */
void onRecordApplied(Node &node, const LogEntry &entry, LogTime before, const TickTime &time);

/**
 * Returns the time between two digests, by the log's clock. The interval grows with the tables, so that digests take
 * the same share of a core at any table size and any rate of records. Each possible interval is a multiple of the
 * smaller ones.
 */
Milliseconds digestInterval(const Tables &tables);

/**
 * Compares the digests of peers with this daemon's digests at the same offsets. If some differ and none matches, the
 * daemon reloads its tables from a snapshot, and no longer accepts the loaded snapshot if no peer has confirmed it.
 * Confirmed tables are reloaded at most once in an interval.
 */
void compareDigests(Node &node, const TickTime &time);

/**
 * Returns true if no snapshot is being loaded and the tables may be used to serve: a peer's digest has confirmed them,
 * or the time to wait for such a digest has passed.
 */
bool isSnapshotTrusted(const Node &node, const TickTime &time);

/**
 * Starts the search for a snapshot if the log no longer retains the next record, or if a new daemon would have to
 * replay too many records.
 */
void startSeekIfNeeded(Node &node, const TickTime &time);

/**
 * Starts the search for a snapshot in the log. The daemon stops serving until it has caught up again, and drops the
 * rest of a snapshot that it was writing.
 */
void startSnapshotSeek(Node &node);

/** Continues the search for a snapshot, or its load, with what was received since the last tick. */
void continueSnapshotLoad(Node &node, const TickTime &time);

/**
 * Proposes the next part of a snapshot that is being written, or requests the encoding of a new one if one is due and
 * this daemon is the one chosen to write it.
 */
void writeSnapshots(Node &node, const TickTime &time);

} // namespace flamingotally
