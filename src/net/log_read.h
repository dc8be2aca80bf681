/** @file log_read.h Decodes raw log records into the reads that the systems process. */
#pragma once

#include "codec/log_codec.h"
#include "message_type.h"

namespace flamingotally
{

/**
 * Decodes the records of a page. LogEntry::state shows whether the record of an entry is a valid batch.
 * @param requestedAt Time at which the page was requested.
 */
LogRead toLogRead(const LogPage &page, MonotonicTime requestedAt);

/** Makes the result of a failed read. */
LogRead failedLogRead(MonotonicTime requestedAt);

} // namespace flamingotally
