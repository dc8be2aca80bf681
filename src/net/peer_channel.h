/** @file peer_channel.h Other daemons: heartbeats over UDP, records over TCP, all of it authenticated. */
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

/** Sends and receives heartbeats, fetches records from peers and serves them. */
class AsioPeerChannel
{
public:
    /**
     * Makes a channel that does not listen yet.
     * @param io Runs it.
     * @param context What the ports share.
     */
    AsioPeerChannel(boost::asio::io_context &io, const PortContext &context);
    AsioPeerChannel(const AsioPeerChannel &) = delete;
    AsioPeerChannel &operator=(const AsioPeerChannel &) = delete;
    ~AsioPeerChannel();

    /**
     * Binds UDP and TCP to one address.
     * @param address "IP:port"; port 0 takes any free one.
     */
    absl::Status listen(const std::string &address);

    /** Address that it listens on. */
    std::string address() const;

    void sendHeartbeat(const std::string &address, const Heartbeat &heartbeat);

    /** Asks a peer for records; whatever comes of it arrives in the inbox. */
    void fetchRecords(const std::string &address, std::uint64_t fromOffset);

    void close();

    struct State;

private:
    std::shared_ptr<State> m_state; ///< Shared with the operations under way, which may outlive this.
};

} // namespace flamingotally
