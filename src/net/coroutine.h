/** @file coroutine.h Asio's coroutines as the sources of net/ use them. */
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>

namespace flamingotally
{

namespace asio = boost::asio;
namespace beast = boost::beast;

using asio::awaitable;
using asio::ip::tcp;
using boost::system::error_code;

/** Makes an operation give its error as a value. */
inline constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

} // namespace flamingotally
