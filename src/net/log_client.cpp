#include "net/log_client.h"

#include "codec/cereal_codec.h"
#include "codec/log_codec.h"

#include <fmt/format.h>

#include <utility>

namespace flamingotally
{

namespace
{

constexpr unsigned statusOk = 200;
constexpr unsigned firstClientError = 400;
constexpr unsigned firstServerError = 500;
constexpr unsigned unavailable = 503;
constexpr std::size_t readBytes = 512 * 1024; ///< Asked for at once.

/** What an answer says of an append. Only an answer that denies it is a refusal. */
AppendOutcome outcomeOf(const HttpResult &result)
{
    if (!result.ok()) {
        return wasNeverSent(result.status()) ? AppendOutcome::Refused : AppendOutcome::Unknown;
    }
    if (result->status == statusOk) {
        return AppendOutcome::Stored;
    }
    const bool isClientError = result->status >= firstClientError && result->status < firstServerError;
    return isClientError || result->status == unavailable ? AppendOutcome::Refused : AppendOutcome::Unknown;
}

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

LogRead toRead(const HttpResult &result, MonotonicTime askedAt)
{
    LogRead read;
    read.askedAt = askedAt;
    read.failed = true;
    if (!result.ok() || result->status != statusOk) {
        return read;
    }
    const auto page = decodeLogPage(result->body);
    if (!page.ok()) {
        return read;
    }
    read.failed = false;
    read.head = page->head;
    read.firstKept = page->firstKept;
    read.entries.reserve(page->records.size());
    for (const auto &it : page->records) {
        read.entries.push_back(toEntry(it));
    }
    return read;
}

} // namespace

HttpLogClient::HttpLogClient(const PortContext &context) : m_context(context)
{
}

void HttpLogClient::append(const Batch &batch)
{
    HttpCall call;
    call.address = m_context.settings.logAddress;
    call.method = HttpMethod::Post;
    call.target = "/v1/log/append";
    call.contentType = "application/octet-stream";
    call.body = encodeBatch(batch);
    call.timeout = m_context.settings.appendTimeout;
    call.step = Step::Append;
    m_context.http.send(std::move(call), [this, sequence = batch.sequence](const HttpResult &result) {
        m_context.inbox.appendAnswers.push_back({sequence, outcomeOf(result)});
        m_context.wake();
    });
}

void HttpLogClient::readFrom(std::uint64_t offset)
{
    HttpCall call;
    call.address = m_context.settings.logAddress;
    call.target = fmt::format(
        "/v1/log/records?from={}&waitMs={}&maxBytes={}", offset, m_context.settings.logPoll.count(), readBytes);
    call.timeout = m_context.settings.logPoll + m_context.settings.appendTimeout;
    call.maxResponseBytes = maxLogPageBytes;
    call.step = Step::ReadLog;
    m_context.http.send(std::move(call), [this, askedAt = m_context.clock.now()](const HttpResult &result) {
        m_context.inbox.logReads.push_back(toRead(result, askedAt));
        m_context.wake();
    });
}

} // namespace flamingotally
