#include "http.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <sstream>
#include <unistd.h>

namespace cell
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr std::uint64_t maxBody = std::uint64_t{64} * 1024 * 1024;
constexpr unsigned httpVersion = 11;

/** Decodes percent-encoded text of a query. */
std::string decode(const std::string &text)
{
    constexpr int base = 16;
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] == '%' && n + 2 < text.size()) {
            out.push_back(static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, base)));
            n += 2;
        } else {
            out.push_back(text[n] == '+' ? ' ' : text[n]);
        }
    }
    return out;
}

Request convert(const http::request<http::string_body> &message)
{
    Request request;
    request.method = std::string(message.method_string());
    request.body = message.body();
    request.expectedInstance = std::string(message["Flamingotally-Expected-Instance"]);
    const std::string target(message.target());
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    std::istringstream query(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string part; std::getline(query, part, '&');) {
        const auto equals = part.find('=');
        request.query[part.substr(0, equals)] = equals == std::string::npos ? "" : decode(part.substr(equals + 1));
    }
    return request;
}

tcp::endpoint parseAddress(const std::string &address)
{
    const auto colon = address.find(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

} // namespace

std::string Request::text(const std::string &name) const
{
    const auto it = query.find(name);
    return it == query.end() ? std::string() : it->second;
}

std::uint64_t Request::number(const std::string &name) const
{
    const auto value = text(name);
    std::uint64_t number = 0;
    std::from_chars(value.data(), value.data() + value.size(), number);
    return number;
}

Server::Server(Handler handler) : m_handler(std::move(handler)), m_endpoint(asio::ip::make_address("127.0.0.1"), 0)
{
    start();
}

std::string Server::address() const
{
    return m_endpoint.address().to_string() + ":" + std::to_string(m_endpoint.port());
}

void Server::start()
{
    const std::lock_guard lock(m_mutex);
    m_acceptor = std::make_shared<tcp::acceptor>(m_io, m_endpoint);
    m_endpoint = m_acceptor->local_endpoint();
    ++m_generation;
    std::thread([this] { accept(); }).detach();
}

void Server::stop()
{
    const std::lock_guard lock(m_mutex);
    ++m_generation;
    ::shutdown(m_acceptor->native_handle(), SHUT_RDWR);
    for (const auto &it : m_sockets) {
        beast::error_code ignored;
        it->set_option(asio::socket_base::linger(true, 0), ignored);
        ::shutdown(it->native_handle(), SHUT_RDWR);
    }
}

void Server::accept()
{
    std::shared_ptr<tcp::acceptor> acceptor;
    std::uint64_t generation = 0;
    {
        const std::lock_guard lock(m_mutex);
        acceptor = m_acceptor;
        generation = m_generation;
    }
    beast::error_code error;
    while (true) {
        auto socket = std::make_shared<tcp::socket>(m_io);
        acceptor->accept(*socket, error);
        const std::lock_guard lock(m_mutex);
        if (error || generation != m_generation) {
            break;
        }
        socket->set_option(tcp::no_delay(true), error);
        m_sockets.insert(socket);
        std::thread([this, socket] { serve(socket); }).detach();
    }
    acceptor->close(error);
}

void Server::serve(const std::shared_ptr<tcp::socket> &socket)
{
    beast::flat_buffer buffer;
    beast::error_code error;
    while (!error) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxBody);
        http::read(*socket, buffer, parser, error);
        if (error) {
            break;
        }
        const auto response = m_handler(convert(parser.get()));
        if (response.status == 0) {
            break;
        }
        http::response<http::string_body> message(static_cast<http::status>(response.status), httpVersion);
        message.set(http::field::content_type, response.contentType);
        message.body() = response.body;
        message.prepare_payload();
        http::write(*socket, message, error);
    }
    const std::lock_guard lock(m_mutex);
    m_sockets.erase(socket);
    beast::error_code ignored;
    socket->close(ignored);
}

CallResult call(const std::string &address,
                const std::string &method,
                const std::string &target,
                const std::string &host,
                const std::string &body,
                Milliseconds timeout)
{
    asio::io_context io;
    beast::tcp_stream stream(io);
    beast::flat_buffer buffer;
    http::request<http::string_body> request(http::string_to_verb(method), target, httpVersion);
    request.set(http::field::host, host);
    request.set("Flamingotally-Deadline-Ms", std::to_string(timeout.count()));
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = body;
    }
    request.prepare_payload();
    http::response<http::string_body> response;
    CallResult result;
    constexpr Milliseconds slack{200};
    stream.expires_after(timeout + slack);
    stream.async_connect(parseAddress(address), [&](beast::error_code connectError) {
        if (connectError) {
            return;
        }
        http::async_write(stream, request, [&](beast::error_code writeError, std::size_t) {
            if (writeError) {
                return;
            }
            http::async_read(stream, buffer, response, [&](beast::error_code readError, std::size_t) {
                if (!readError) {
                    result = {response.result_int(), response.body()};
                }
            });
        });
    });
    io.run();
    return result;
}

std::uint16_t freePort()
{
    // a block for each process, below the ports that the system gives to connections: others do not take them meanwhile
    constexpr int first = 10'000;
    constexpr int blocks = 300;
    constexpr int blockSize = 64;
    static int next = first + static_cast<int>(::getpid()) % blocks * blockSize;
    while (true) {
        asio::io_context io;
        tcp::acceptor acceptor(io);
        const auto port = static_cast<std::uint16_t>(next++);
        beast::error_code error;
        acceptor.open(tcp::v4(), error);
        acceptor.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port), error);
        if (!error) {
            return port;
        }
    }
}

} // namespace cell
