#include "net/log_client.h"

#include "codec/cereal_codec.h"
#include "codec/log_codec.h"
#include "net/log_read.h"

#include <fmt/format.h>

#include <utility>

namespace flamingotally
{

namespace
{

constexpr unsigned statusOk = 200;
constexpr unsigned firstClientError = 400;
constexpr unsigned firstServerError = 500;
constexpr unsigned statusUnavailable = 503;
constexpr std::size_t maxReadBytes = 512 * 1024; ///< Limit of the records in one read.

/** Returns the outcome of an append. `Refused` means that the log certainly did not store the batch. */
AppendOutcome outcomeOf(const HttpResult &result)
{
    if (!result.ok()) {
        return wasNeverSent(result.status()) ? AppendOutcome::Refused : AppendOutcome::Unknown;
    }
    if (result->status == statusOk) {
        return AppendOutcome::Stored;
    }
    const bool isClientError = result->status >= firstClientError && result->status < firstServerError;
    return isClientError || result->status == statusUnavailable ? AppendOutcome::Refused : AppendOutcome::Unknown;
}

/** Decodes the page of a response; nullopt if the read failed or the page is malformed. */
std::optional<LogPage> pageOf(const HttpResult &result)
{
    if (!result.ok() || result->status != statusOk) {
        return std::nullopt;
    }
    auto page = decodeLogPage(result->body);
    return page.ok() ? std::optional(*std::move(page)) : std::nullopt;
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
        m_context.inbox.appendResponses.push_back({sequence, outcomeOf(result)});
        m_context.wake();
    });
}

void HttpLogClient::readFrom(std::uint64_t offset)
{
    HttpCall call;
    call.address = m_context.settings.logAddress;
    call.target = fmt::format(
        "/v1/log/records?from={}&waitMs={}&maxBytes={}", offset, m_context.settings.logPoll.count(), maxReadBytes);
    call.timeout = m_context.settings.logPoll + m_context.settings.appendTimeout;
    call.maxResponseBytes = maxLogPageBytes;
    call.step = Step::ReadLog;
    m_context.http.send(std::move(call), [this, requestedAt = m_context.clock.now()](const HttpResult &result) {
        handlePage(pageOf(result), requestedAt);
    });
}

void HttpLogClient::handlePage(const std::optional<LogPage> &page, MonotonicTime requestedAt)
{
    if (page) {
        for (const auto &it : page->records) {
            m_context.records.add(it);
        }
    }
    m_context.inbox.logReads.push_back(page ? toLogRead(*page, requestedAt) : failedLogRead(requestedAt));
    m_context.wake();
}

} // namespace flamingotally
