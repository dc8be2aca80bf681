#include "net/peer_channel.h"

#include "codec/cereal_codec.h"
#include "codec/log_codec.h"
#include "codec/message_auth.h"
#include "net/coroutine.h"
#include "net/endpoint.h"
#include "net/listen_socket.h"
#include "net/log_read.h"
#include "net/peer_frame.h"
#include "net/start_log.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <utility>

namespace flamingotally
{

using asio::ip::udp;

namespace
{

constexpr std::size_t maxDatagramBytes = 2'048;
constexpr std::size_t maxRequestBytes = 256;
constexpr std::size_t maxPageBytes = 1024 * 1024;
constexpr std::size_t servedPageBytes = 256 * 1024; ///< Limit of a response; its last record may exceed the limit.
constexpr std::size_t maxServedPeers = 32; ///< Connections of peers at a time; further ones are closed.
constexpr Milliseconds exchangeTimeout{2'000}; ///< For connecting, one request and its response.

} // namespace

struct AsioPeerChannel::State {
    State(asio::io_context &context, PortContext shared)
        : io(context), ports(std::move(shared)), socket(context), acceptor(context)
    {
    }

    const std::string &secret() const
    {
        return ports.settings.clusterSecret;
    }

    asio::io_context &io;
    PortContext ports;
    udp::socket socket;
    tcp::acceptor acceptor;
    std::size_t servedPeers = 0;
};

namespace
{

using State = AsioPeerChannel::State;
using StatePtr = std::shared_ptr<State>;

/** Puts the heartbeat in a datagram into the inbox. A malformed or forged one is counted and dropped. */
void handleDatagram(State &state, std::string_view bytes)
{
    const auto body = verifyMessage(state.secret(), PeerMessage::Heartbeat, bytes);
    auto heartbeat = body ? decodeHeartbeat(*body) : absl::StatusOr<Heartbeat>(absl::UnknownError("forged"));
    if (!heartbeat.ok()) {
        ++state.ports.counters.heartbeatsDropped;
        return;
    }
    state.ports.inbox.heartbeats.push_back({*std::move(heartbeat), state.ports.clock.now()});
    state.ports.wake();
}

awaitable<void> receiveDatagrams(StatePtr shared)
{
    const StatePtr state = std::move(shared);
    std::array<char, maxDatagramBytes> buf{};
    while (state->socket.is_open()) {
        udp::endpoint sender;
        const auto [ec, n] = co_await state->socket.async_receive_from(asio::buffer(buf), sender, useTuple);
        if (ec == asio::error::operation_aborted) {
            break;
        }
        if (!ec) {
            handleDatagram(*state, {buf.data(), n});
        }
    }
}

/** Responds to one request for records. A malformed or forged request is ignored and counted as a dropped heartbeat. */
awaitable<void> serveRecords(const StatePtr &state, beast::tcp_stream &stream)
{
    stream.expires_after(exchangeTimeout);
    const auto request = co_await readFrame(stream, maxRequestBytes);
    const auto body = request ? verifyMessage(state->secret(), PeerMessage::RecordRequest, *request) : std::nullopt;
    const auto from = body ? decodeRecordRequest(*body) : std::nullopt;
    if (!from) {
        ++state->ports.counters.heartbeatsDropped;
        co_return;
    }
    const auto page = encodeLogPage(state->ports.records.pageFrom(*from, servedPageBytes));
    co_await writeFrame(stream, signMessage(state->secret(), PeerMessage::RecordPage, page));
}

awaitable<void> servePeer(StatePtr shared, tcp::socket socket)
{
    const StatePtr state = std::move(shared);
    beast::tcp_stream stream(std::move(socket));
    ++state->servedPeers;
    co_await serveRecords(state, stream);
    --state->servedPeers;
}

awaitable<void> acceptPeers(StatePtr shared)
{
    const StatePtr state = std::move(shared);
    while (state->acceptor.is_open()) {
        auto [ec, socket] = co_await state->acceptor.async_accept(useTuple);
        if (ec == asio::error::operation_aborted) {
            break;
        }
        if (!ec && state->servedPeers < maxServedPeers) {
            asio::co_spawn(state->io, servePeer(state, std::move(socket)), asio::detached);
        }
    }
}

/** Requests records from a peer; nullopt if there is no valid response. */
awaitable<std::optional<LogPage>> requestRecords(const StatePtr &state, const std::string &address, std::uint64_t from)
{
    const auto endpoint = parseEndpoint<tcp::endpoint>(address);
    if (!endpoint) {
        co_return std::nullopt;
    }
    beast::tcp_stream stream(state->io);
    stream.expires_after(exchangeTimeout);
    if (const auto [ec] = co_await stream.async_connect(*endpoint, useTuple); ec) {
        co_return std::nullopt;
    }
    const auto request = signMessage(state->secret(), PeerMessage::RecordRequest, encodeRecordRequest(from));
    if (!co_await writeFrame(stream, request)) {
        co_return std::nullopt;
    }
    const auto response = co_await readFrame(stream, maxPageBytes);
    const auto body = response ? verifyMessage(state->secret(), PeerMessage::RecordPage, *response) : std::nullopt;
    if (!body) {
        co_return std::nullopt;
    }
    auto page = decodeLogPage(*body);
    co_return page.ok() ? std::optional(*std::move(page)) : std::nullopt;
}

/** Requests records from a peer and puts the result, including a failed one, into the inbox. */
awaitable<void> fetchAndReport(StatePtr shared, std::string peer, std::uint64_t from)
{
    const StatePtr state = std::move(shared);
    const std::string address = std::move(peer);
    const auto requestedAt = state->ports.clock.now();
    const auto page = co_await requestRecords(state, address, from);
    if (page) {
        for (const auto &it : page->records) {
            state->ports.records.add(it);
        }
    }
    state->ports.inbox.peerReads.push_back(page ? toLogRead(*page, requestedAt) : failedLogRead(requestedAt));
    state->ports.wake();
}

/** Binds the TCP and the UDP socket to one address, or neither. */
error_code bindBoth(State &state, udp::endpoint endpoint)
{
    auto ec = listenOn(state.acceptor, {endpoint.address(), endpoint.port()});
    if (!ec) {
        endpoint.port(state.acceptor.local_endpoint().port());
        state.socket.open(endpoint.protocol(), ec);
    }
    if (!ec) {
        state.socket.bind(endpoint, ec);
    }
    if (!ec) {
        state.socket.non_blocking(true, ec);
    }
    if (ec) {
        error_code ignored;
        state.socket.close(ignored);
        state.acceptor.close(ignored);
    }
    return ec;
}

} // namespace

AsioPeerChannel::AsioPeerChannel(asio::io_context &io, const PortContext &context)
    : m_state(std::make_shared<State>(io, context))
{
}

AsioPeerChannel::~AsioPeerChannel()
{
    close();
}

absl::Status AsioPeerChannel::bind(const std::string &address)
{
    const auto endpoint = parseEndpoint<udp::endpoint>(address);
    if (!endpoint) {
        return addressFormError(address);
    }
    if (const auto ec = bindBoth(*m_state, *endpoint)) {
        return listenError(address, ec);
    }
    return absl::OkStatus();
}

void AsioPeerChannel::accept()
{
    asio::co_spawn(m_state->io, receiveDatagrams(m_state), asio::detached);
    asio::co_spawn(m_state->io, acceptPeers(m_state), asio::detached);
}

absl::Status AsioPeerChannel::listen(const std::string &address)
{
    auto status = bind(address);
    if (status.ok()) {
        accept();
    }
    return status;
}

std::string AsioPeerChannel::address() const
{
    error_code ignored;
    return endpointText(m_state->socket.local_endpoint(ignored));
}

void AsioPeerChannel::sendHeartbeat(const std::string &address, const Heartbeat &heartbeat)
{
    const auto endpoint = parseEndpoint<udp::endpoint>(address);
    if (!endpoint || !m_state->socket.is_open()) {
        return;
    }
    const auto bytes = signMessage(m_state->secret(), PeerMessage::Heartbeat, encodeHeartbeat(heartbeat));
    error_code ignored; // a lost heartbeat needs no resend, since the next one replaces it
    m_state->socket.send_to(asio::buffer(bytes), *endpoint, 0, ignored);
}

void AsioPeerChannel::fetchRecords(const std::string &address, std::uint64_t fromOffset)
{
    asio::co_spawn(m_state->io, fetchAndReport(m_state, address, fromOffset), asio::detached);
}

void AsioPeerChannel::close()
{
    error_code ignored;
    m_state->socket.close(ignored);
    m_state->acceptor.close(ignored);
}

} // namespace flamingotally
