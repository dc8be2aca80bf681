/** @file record_size.h Estimated sizes of journal records, which bound what goes into one call to the store. */
#pragma once

#include "dispatch/journal_type.h"

#include <cstddef>

namespace flamingotally::dispatch
{

/** Returns the estimated size of a record that a daemon's entry writer stores, in bytes; it is seldom too low. */
std::size_t estimatedBytes(const JournalRecord &record);

} // namespace flamingotally::dispatch
