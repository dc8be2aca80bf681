/** @file append_response.h Part of appendResponseSystem() that the writer of the journal uses, too. */
#pragma once

#include "dispatch/entry_base.h"

namespace flamingotally::dispatch
{

/**
 * Prepares the entry writer to send a batch under the next fencing token (its epoch), after it was fenced or a batch
 * went through the owner. The records are possibly stored twice, as an earlier send of the batch has possibly been
 * stored.
 */
void beginEpoch(Writer &writer);

} // namespace flamingotally::dispatch
