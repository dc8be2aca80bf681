/** @file listen_socket.h Takes an address for a TCP server. For the sources of net/ only. */
#pragma once

#include "net/coroutine.h"

namespace flamingotally
{

/**
 * Opens an acceptor on an address, on which the kernel then queues connections. After an error the acceptor is closed,
 * so that it can be opened again.
 */
inline error_code listenOn(tcp::acceptor &acceptor, const tcp::endpoint &endpoint)
{
    error_code ec;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(endpoint, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        error_code ignored;
        acceptor.close(ignored);
    }
    return ec;
}

} // namespace flamingotally
