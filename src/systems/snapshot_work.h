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
 * Returns the time between two digests, by the log's clock. It grows with the tables, so that digests take the same
 * share of a core at any table size and any rate of records. Each interval is a multiple of the smaller ones.
 */
Milliseconds digestInterval(const Tables &tables);

/**
 * Compares the digests of peers with this daemon's digests at the same offsets. If they differ and none matches, the
 * daemon reloads its tables from a snapshot.
 */
void compareDigests(Node &node, const TickTime &time);

/**
 * Returns true if the loaded tables may be used to serve: a peer's digest has confirmed them, or the time to
 * wait for such a digest has passed.
 */
bool isSnapshotTrusted(const Node &node, const TickTime &time);

/** Starts the search for a snapshot if the log has dropped the next record or too many records would be replayed. */
void startSeekIfNeeded(Node &node, const TickTime &time);

/** Starts the search for a snapshot in the log. The daemon stops serving until it has caught up again. */
void startSnapshotSeek(Node &node);

/** Continues a search or load that is in progress. */
void continueSnapshotLoad(Node &node, const TickTime &time);

/** Writes a snapshot to the log if one is due and this daemon is the one chosen to write it. */
void writeSnapshots(Node &node, const TickTime &time);

} // namespace flamingotally
