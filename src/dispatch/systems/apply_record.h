/** @file apply_record.h Applies records of the journal to the entry daemon's state. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/**
 * Applies a record that was read from the journal.
 * @param offset Offset of the record in the journal.
 * @param isIncremental The record was read from an offset on, not as part of the newest records of all keys.
 * @return True if the record is this daemon's own claim, so that becomeOwner() is to be called after the read.
 */
bool applyRecord(
    Entry &entry, const JournalRecord &record, std::uint64_t offset, bool isIncremental, const TickTime &time);

/**
 * Applies a record that this daemon has stored, before it is read back.
 * @param offset Offset of the record in the journal.
 */
void applyStoredRecord(Entry &entry, const JournalRecord &record, std::uint64_t offset, const TickTime &time);

/** Makes this daemon the owner and builds its tables of active work. */
void becomeOwner(Entry &entry, const TickTime &time);

} // namespace flamingotally::dispatch
