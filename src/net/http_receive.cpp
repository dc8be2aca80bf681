#include "net/http_receive.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace flamingotally
{

namespace
{

constexpr std::size_t fieldOverhead = 96; ///< Memory of a header field in addition to its name and value.
/**
 * Upper bound of the memory that a byte of an incomplete header takes once it is parsed. The shortest field has 4
 * bytes, and takes 4 + 96.
 */
constexpr std::size_t parsedHeaderFactor = 25;

constexpr unsigned statusFieldsTooLarge = 431;

/** Error of the parser, and the limit that it stands for. */
struct ParserLimit {
    http::error error;
    HttpLimit limit;
};

constexpr std::array parserLimits{ParserLimit{http::error::header_limit, HttpLimit::HeaderSize},
                                  ParserLimit{http::error::body_limit, HttpLimit::BodySize}};

std::optional<HttpLimit> limitOf(const error_code &ec)
{
    const auto *it = std::ranges::find_if(parserLimits, [&](const ParserLimit &row) { return ec == row.error; });
    return it == parserLimits.end() ? std::nullopt : std::optional(it->limit);
}

std::size_t fieldBytes(const RequestParser &parser)
{
    std::size_t sum = parser.get().target().size();
    for (const auto &it : parser.get()) {
        sum += it.name_string().size() + it.value().size() + fieldOverhead;
    }
    return sum;
}

/** Sends "100 Continue" if the client expects it before it sends the body. */
awaitable<error_code> sendContinue(Connection &connection, const RequestParser &parser)
{
    if (!beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        co_return error_code{};
    }
    http::response<http::empty_body> continueResponse(http::status::continue_, parser.get().version());
    const auto [ec, n] = co_await http::async_write(connection.stream, continueResponse, useTuple);
    co_return ec;
}

/** Progress of the request that is being received. */
struct Progress {
    std::size_t headerBytes = 0; ///< Bytes of the header that were parsed.
    std::size_t fieldBytes = 0; ///< Memory of the header fields; known once the header is complete.
    bool isHeaderDone = false;
};

/** Parses what was received. */
error_code parse(Connection &connection, RequestParser &parser, Progress &progress)
{
    error_code ec;
    if (connection.buf.size() == 0) {
        return http::error::need_more;
    }
    const auto used = parser.put(connection.buf.data(), ec);
    connection.buf.consume(used);
    progress.headerBytes += progress.isHeaderDone ? 0 : used;
    return ec;
}

/** Charges the budget for the request; returns false if its connection is closed to make room. */
bool chargeReceived(Connection &connection, const RequestParser &parser, const Progress &progress, HttpBudget &budget)
{
    const auto header = progress.isHeaderDone ? progress.fieldBytes : progress.headerBytes * parsedHeaderFactor;
    budget.recharge(connection.charge, connection.buf.capacity() + parser.get().body().capacity() + header);
    return !connection.closedFor;
}

/** Reads some bytes into the buffer, which has room for them unless the parser accepts a longer header than it may. */
awaitable<error_code> readSome(Connection &connection, RequestParser &parser)
{
    if (connection.buf.max_size() - connection.buf.size() < readBytes) {
        co_return http::error::header_limit;
    }
    auto [ec, n] = co_await connection.stream.async_read_some(connection.buf.prepare(readBytes), useTuple);
    connection.buf.commit(n);
    if (ec != asio::error::eof) {
        co_return ec;
    }
    if (!parser.got_some()) {
        co_return http::error::end_of_stream;
    }
    error_code endError;
    parser.put_eof(endError);
    co_return endError;
}

} // namespace

std::size_t maxBufferBytes(const HttpServerSettings &settings)
{
    return std::max({settings.maxHeaderBytes, settings.maxTrailerBytes, settings.maxChunkExtensionBytes})
        + 2 * readBytes;
}

std::optional<HttpLimit> exceededLimit(std::string_view pending, const HttpServerSettings &settings)
{
    constexpr std::string_view lineEnd = "\r\n";
    if (pending.starts_with(lineEnd)) { // end of the data of the chunk before
        pending.remove_prefix(lineEnd.size());
    }
    const auto end = pending.find(lineEnd);
    const auto lineBytes = std::min(end, pending.size());
    if (lineBytes > settings.maxChunkExtensionBytes) {
        return HttpLimit::ChunkExtensionSize;
    }
    if (end != std::string_view::npos && pending.size() - end - lineEnd.size() > settings.maxTrailerBytes) {
        return HttpLimit::TrailerSize;
    }
    return std::nullopt;
}

awaitable<ReceiveResult>
receiveRequest(Connection &connection, RequestParser &parser, const HttpServerSettings &settings, HttpBudget &budget)
{
    Progress progress;
    while (true) {
        auto ec = parse(connection, parser, progress);
        if (ec && ec != http::error::need_more) {
            co_return ReceiveResult{ec, limitOf(ec)};
        }
        const bool endsHeader =
            parser.is_header_done() && !std::exchange(progress.isHeaderDone, parser.is_header_done());
        if (endsHeader) {
            progress.fieldBytes = fieldBytes(parser);
        }
        if (!chargeReceived(connection, parser, progress, budget)) {
            co_return ReceiveResult{asio::error::operation_aborted, connection.closedFor};
        }
        if (parser.is_done()) {
            co_return ReceiveResult{};
        }
        if (endsHeader) {
            parser.eager(true);
            if (ec = co_await sendContinue(connection, parser); ec) {
                co_return ReceiveResult{ec};
            }
            continue;
        }
        if (progress.isHeaderDone) {
            const auto bytes = connection.buf.data();
            const std::string_view pending(static_cast<const char *>(bytes.data()), bytes.size());
            if (const auto limit = exceededLimit(pending, settings)) {
                co_return ReceiveResult{http::error::header_limit, limit};
            }
        }
        if (ec = co_await readSome(connection, parser); ec || connection.closedFor) {
            co_return ReceiveResult{ec ? ec : asio::error::operation_aborted, connection.closedFor};
        }
    }
}

std::size_t requestBytes(const RequestParser &parser)
{
    return fieldBytes(parser) + parser.get().body().size();
}

HttpError receiveError(const ReceiveResult &result, bool isTimedOut)
{
    if (result.limit == HttpLimit::TrailerSize || result.limit == HttpLimit::ChunkExtensionSize) {
        return {.reason = Reason::RequestTooLarge, .status = statusFieldsTooLarge};
    }
    if (result.limit) {
        return {.reason = Reason::RequestTooLarge};
    }
    if (isTimedOut) {
        return {.detail = "The request was not complete within the time limit.",
                .status = static_cast<unsigned>(http::status::request_timeout)};
    }
    return {.detail = fmt::format("The request could not be parsed: {}.", result.ec.message())};
}

} // namespace flamingotally
