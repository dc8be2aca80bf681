#include "net/log_read.h"

#include "codec/cereal_codec.h"

#include <utility>

namespace flamingotally
{

namespace
{

/** Returns the state of an entry whose batch could not be decoded. */
EntryState stateOf(const absl::Status &status)
{
    return status.code() == absl::StatusCode::kUnimplemented ? EntryState::NewerVersion : EntryState::Malformed;
}

LogEntry toEntry(const RawRecord &record)
{
    LogEntry entry;
    entry.offset = record.offset;
    entry.appendedAt = record.appendedAt;
    auto batch = decodeBatch(record.bytes);
    entry.state = batch.ok() ? EntryState::Readable : stateOf(batch.status());
    if (batch.ok()) {
        entry.batch = *std::move(batch);
    }
    return entry;
}

} // namespace

LogRead toLogRead(const LogPage &page, MonotonicTime requestedAt)
{
    LogRead read;
    read.requestedAt = requestedAt;
    read.head = page.head;
    read.firstRetained = page.firstRetained;
    read.entries.reserve(page.records.size());
    for (const auto &it : page.records) {
        read.entries.push_back(toEntry(it));
    }
    return read;
}

LogRead failedLogRead(MonotonicTime requestedAt)
{
    LogRead read;
    read.requestedAt = requestedAt;
    read.failed = true;
    return read;
}

} // namespace flamingotally
