/** @file commit_relay.h Functions of the commit relay that other systems use. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/** Returns the owner of the cell, if it is known and may be alive; null otherwise. This daemon itself may be the owner.
 */
const KnownDaemon *findOwner(const Entry &entry);

/** Decides which way the next batch of the entry writer goes, and logs a change. */
CommitRoute routeOfNextBatch(Entry &entry, const TickTime &time);

/** Sends the batch of the entry writer to the owner. The batch exists, and the owner is known. */
void sendThroughOwner(Entry &entry, const TickTime &time);

/** Asks an owner that has written nothing for a while whether it waits for the store. */
void checkSilentOwner(Entry &entry, const TickTime &time);

/** Returns true if the owner has answered a moment ago that it waits for the store. */
bool isOwnerWaiting(const Entry &entry, const TickTime &time);

/** Returns the number of keys that a record writes, and so the number of offsets that it takes in the journal. */
std::size_t rowsOf(const JournalRecord &record);

/**
 * Applies the records of other daemons in a batch of this owner that was stored, without waiting to read them back.
 * @param offset Offset of the batch's first record.
 */
void applyStoredCommits(Entry &entry, const JournalBatch &batch, std::uint64_t offset, const TickTime &time);

/** Answers the calls whose records are in the batches that this owner has stored. */
void answerStoredCommits(Entry &entry);

/** Answers all calls when this daemon ceases to be the owner, before its writer is reset. */
void dropCommits(Entry &entry);

} // namespace flamingotally::dispatch
