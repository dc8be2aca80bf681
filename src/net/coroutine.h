/** @file coroutine.h Aliases of Asio's coroutine types for the sources of net/. */
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

/** Completion token with which an operation returns its error as a value instead of throwing it. */
inline constexpr auto useTuple = asio::as_tuple(asio::use_awaitable);

} // namespace flamingotally
