#include "net/peer_frame.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <array>
#include <utility>

namespace flamingotally
{

namespace
{

using LengthBytes = std::array<unsigned char, sizeof(std::uint32_t)>;

} // namespace

awaitable<std::optional<std::string>> readFrame(beast::tcp_stream &stream, std::size_t maxBytes)
{
    LengthBytes prefix{};
    if (const auto [ec, n] = co_await asio::async_read(stream, asio::buffer(prefix), useTuple); ec) {
        co_return std::nullopt;
    }
    const auto length = boost::endian::load_big_u32(prefix.data());
    if (length > maxBytes) {
        co_return std::nullopt;
    }
    std::string message(length, '\0');
    if (const auto [ec, n] = co_await asio::async_read(stream, asio::buffer(message), useTuple); ec) {
        co_return std::nullopt;
    }
    co_return message;
}

awaitable<bool> writeFrame(beast::tcp_stream &stream, std::string message)
{
    const std::string body = std::move(message);
    LengthBytes prefix{};
    boost::endian::store_big_u32(prefix.data(), static_cast<std::uint32_t>(body.size()));
    const std::array buffers = {asio::buffer(std::as_const(prefix)), asio::buffer(body)};
    const auto [ec, n] = co_await asio::async_write(stream, buffers, useTuple);
    co_return !ec;
}

} // namespace flamingotally
