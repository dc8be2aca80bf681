/**
 * @file region_read.h Parts of readJournalSystem() that act only in a cell with several regions: the stages of the
 * first load, reads from the region's reader, and the raw records that the reader keeps.
 */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/**
 * Pause of a follower after a response of its region's reader. Shorter than the pause of the reader, so that a request
 * usually waits there when records arrive; it bounds the responses when queries make the reader read more often.
 */
constexpr Milliseconds sharedReadPause{50};

/** Returns from where the next read is made. Until the distance of the store is known, that is the store. */
SourceChoice nextSource(Entry &entry, const TickTime &time);

/**
 * Returns true if a read in flight from the region's reader is to be given up for another one: the source has changed,
 * or a call needs a view as of now while the read waits for records.
 */
bool isReplaceable(const JournalView &view, const SourceChoice &choice, bool isReadRequested);

/** Adds to a request what depends on regions: its source, its time-out, the stage of the load. */
void completeRequest(const Entry &entry, const SourceChoice &choice, JournalReadRequest &request);

/** Records the source of a read that is sent, and logs a change of it. */
void recordSource(Entry &entry, const SourceChoice &choice);

/** Updates the smallest response time of the store. */
void measureStore(RegionView &region, const JournalRead &read);

/** Ends the measurement of the store's distance after a read that failed. */
void finishMeasuring(RegionView &region);

/** Ends the stage of the load that a successful read belonged to, of which nothing else is applied. */
void finishLoadStage(Entry &entry, const JournalRead &read, const TickTime &time);

/** Updates the age of the view after a response of the region's reader. */
void updateAgeFromReader(Entry &entry, const JournalRead &read, const TickTime &time);

/** Handles a read that the region's reader refused or did not answer. */
void handleReaderFailure(Entry &entry, const JournalRead &read, const TickTime &time);

/** After a load: the records of daemons in it say nothing about whether those that failed as readers are alive. */
void keepFailedReaders(RegionView &region, const TickTime &time);

/** Keeps the raw records of a read, if this daemon is the region's reader; otherwise drops those that it has. */
void keepRaw(Entry &entry, JournalRead &read);

} // namespace flamingotally::dispatch
