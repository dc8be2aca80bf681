/**
 * @file peer_channel.h Exchanges heartbeats over UDP and log records over TCP with other daemons, both authenticated.
 */
#pragma once

#include "net/port_context.h"

#include <absl/status/status.h>

#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace flamingotally
{

/** Sends and receives heartbeats, fetches log records from peers and serves records to them. */
class AsioPeerChannel
{
public:
    /**
     * Makes a channel that does not listen yet.
     * @param io Runs the channel.
     * @param context Objects that the ports share.
     */
    AsioPeerChannel(boost::asio::io_context &io, const PortContext &context);
    AsioPeerChannel(const AsioPeerChannel &) = delete;
    AsioPeerChannel &operator=(const AsioPeerChannel &) = delete;
    ~AsioPeerChannel();

    /**
     * Binds UDP and TCP to one address.
     * @param address "IP:port"; port 0 binds any free port.
     */
    absl::Status listen(const std::string &address);

    /** Takes an address without using it yet. May be called again after an error. */
    absl::Status bind(const std::string &address);

    /** Starts to accept connections and datagrams, after bind() has succeeded. */
    void accept();

    /** Returns the address on which the channel listens, with the port that was bound. */
    std::string address() const;

    /** Sends a heartbeat as one datagram; errors are ignored. */
    void sendHeartbeat(const std::string &address, const Heartbeat &heartbeat);

    /** Requests records from a peer; the result, including a failed one, arrives in Inbox::peerReads. */
    void fetchRecords(const std::string &address, std::uint64_t fromOffset);

    /** Stops listening. */
    void close();

    struct State;

private:
    std::shared_ptr<State> m_state; ///< Shared with the operations in progress, which may outlive this object.
};

} // namespace flamingotally
