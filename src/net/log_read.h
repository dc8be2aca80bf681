/** @file log_read.h Turns records as bytes into records as the systems read them. */
#pragma once

#include "codec/log_codec.h"
#include "message_type.h"

namespace flamingotally
{

/** Decodes the records of a page; those that are no batches are marked so. */
LogRead toLogRead(const LogPage &page, MonotonicTime requestedAt);

/** A read that got no answer. */
LogRead failedLogRead(MonotonicTime requestedAt);

} // namespace flamingotally
