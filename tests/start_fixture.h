/** @file start_fixture.h The real daemons as processes whose start is tested, and the addresses that they take. */
#pragma once

#include "child_process.h"
#include "net/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace flamingotally
{

/** Returns an address on loopback, with a port below those that connections get, that is not taken now. */
inline std::string unusedAddress()
{
    constexpr int firstPort = 29'300;
    constexpr int ports = 3'400;
    constexpr int portsPerProcess = 101;
    static int next = static_cast<int>(getpid()) * portsPerProcess % ports;
    for (int tries = 0; tries < ports; ++tries) {
        const auto port = static_cast<std::uint16_t>(firstPort + next++ % ports);
        boost::asio::io_context io;
        boost::asio::ip::tcp::acceptor acceptor(io, boost::asio::ip::tcp::v4());
        boost::system::error_code ec;
        acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), port}, ec);
        if (!ec) {
            return fmt::format("127.0.0.1:{}", port);
        }
    }
    CPPUNIT_FAIL("no port is free");
    return {};
}

/** Has an address from its construction to its destruction, as another process would; answers nothing there. */
class AddressHolder
{
public:
    explicit AddressHolder(const std::string &address)
        : m_acceptor(m_io, *parseEndpoint<boost::asio::ip::tcp::endpoint>(address))
    {
    }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
};

/** A client that stays connected. */
class OpenConnection
{
public:
    explicit OpenConnection(const std::string &address) : m_socket(m_io)
    {
        m_socket.connect(*parseEndpoint<boost::asio::ip::tcp::endpoint>(address), m_error);
    }

    /** Sends a request; returns whether any byte of a response arrives soon. */
    bool responds()
    {
        constexpr std::string_view request = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
        const timeval limit{0, 300'000};
        if (m_error) {
            return false;
        }
        const int descriptor = m_socket.native_handle();
        setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        char byte = 0;
        return send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) > 0 && recv(descriptor, &byte, 1, 0) == 1;
    }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    boost::system::error_code m_error;
};

/** The entry daemon for the platform. No platform is there: the daemon serves all the same, and is not ready. */
struct EntryProgram {
    static constexpr const char *path = ENTRY_PROGRAM;
    /** Settings with the addresses, in the order in which they are taken. */
    static constexpr std::array addresses{"peerAddress", "metricsAddress", "readyAddress", "frontAddress"};
    /** These of them answer any HTTP request at once; the front waits for its configuration, and the store is away. */
    static constexpr std::array<std::size_t, 3> answering{0, 1, 2};
    static std::vector<std::string> settings()
    {
        return {"storeAddress = '" + unusedAddress() + "'", "drainMs = 200"};
    }
};

/** The daemon with the native interface. */
struct NativeProgram {
    static constexpr const char *path = NATIVE_PROGRAM;
    static constexpr std::array addresses{"peerAddress", "httpAddress"};
    static constexpr std::array<std::size_t, 1> answering{1};
    static std::vector<std::string> settings()
    {
        return {"clusterSecret = '0123456789abcdef'",
                "logAddress = '" + unusedAddress() + "'",
                "hostListAddress = '" + unusedAddress() + "'",
                "drainTimeoutMs = 200"};
    }
};

} // namespace flamingotally
