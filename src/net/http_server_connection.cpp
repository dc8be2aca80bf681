#include "net/http_server_connection.h"

#include "net/http_error.h"

#include <fmt/format.h>

#include <array>

namespace flamingotally
{

namespace
{

constexpr std::size_t maxLingerBytes = 1024 * 1024; ///< Limit of unread data that closeLingering() discards.
constexpr Milliseconds lingerTimeout{1'000}; ///< Time limit of closeLingering().
constexpr Milliseconds refusalRetry{1'000}; ///< Time after which a refused caller may retry.

/** Returns the message that refuses a request for which the process has no room. */
std::string refusalMessage()
{
    const auto response = makeErrorResponse(
        {.reason = Reason::Overloaded, .detail = "The process has no room.", .retryAfter = refusalRetry});
    std::string text = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n";
    for (const auto &[name, value] : response.fields) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    return text
        + fmt::format("Content-Type: {}\r\nContent-Length: {}\r\n\r\n{}",
                      response.contentType,
                      response.body.size(),
                      response.body);
}

} // namespace

bool isDisconnected(const error_code &ec)
{
    return ec == http::error::end_of_stream || ec == asio::error::connection_reset
        || ec == asio::error::operation_aborted || ec == asio::error::broken_pipe;
}

void closeRefused(Connection &connection)
{
    if (connection.isRefused) {
        static const std::string message = refusalMessage();
        error_code ignored;
        connection.stream.socket().non_blocking(true, ignored);
        connection.stream.socket().write_some(asio::buffer(message), ignored);
    }
    connection.stream.close();
}

awaitable<void> closeLingering(Connection &connection)
{
    thread_local std::array<char, readBytes> discarded; // shared by all connections, as its contents are not used
    connection.buf.clear();
    connection.buf.shrink_to_fit();
    error_code ignored;
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    connection.stream.expires_after(lingerTimeout);
    std::size_t total = 0;
    while (total < maxLingerBytes) {
        const auto [ec, n] = co_await connection.stream.async_read_some(asio::buffer(discarded), useTuple);
        if (ec) {
            break;
        }
        total += n;
    }
    connection.stream.close();
}

} // namespace flamingotally
