/** @file log_read.h Decodes raw log records into the reads that the systems process. */
#pragma once

#include "codec/log_codec.h"
#include "message_type.h"

namespace flamingotally
{

/** Decodes the records of a page. The state of an entry shows whether its record is a valid batch. */
LogRead toLogRead(const LogPage &page, MonotonicTime requestedAt);

/** Makes the result of a failed read. */
LogRead failedLogRead(MonotonicTime requestedAt);

} // namespace flamingotally
