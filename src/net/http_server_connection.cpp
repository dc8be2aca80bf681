#include "net/http_server_connection.h"

#include <fmt/format.h>

namespace flamingotally
{

namespace
{

constexpr std::size_t maxLingerBytes = 1024 * 1024; ///< Limit of unread data that closeLingering() discards.
constexpr Milliseconds lingerTimeout{1'000}; ///< Time limit of closeLingering().

} // namespace

HttpError receiveError(const error_code &ec, bool isTimedOut)
{
    if (ec == http::error::body_limit || ec == http::error::header_limit) {
        return {.reason = Reason::RequestTooLarge};
    }
    if (isTimedOut) {
        return {.detail = "The request was not complete within the time limit.",
                .status = static_cast<unsigned>(http::status::request_timeout)};
    }
    return {.detail = fmt::format("The request could not be parsed: {}.", ec.message())};
}

bool isDisconnected(const error_code &ec)
{
    return ec == http::error::end_of_stream || ec == asio::error::connection_reset
        || ec == asio::error::operation_aborted || ec == asio::error::broken_pipe;
}

awaitable<void> closeLingering(Connection &connection)
{
    error_code ignored;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection.stream.expires_after(lingerTimeout);
    std::size_t total = 0;
    while (total < maxLingerBytes) {
        connection.buf.clear();
        const auto [ec, n] = co_await connection.stream.async_read_some(connection.buf.prepare(readBytes), useTuple);
        if (ec) {
            break;
        }
        total += n;
    }
    connection.stream.close();
}

} // namespace flamingotally
