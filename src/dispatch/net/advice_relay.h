/** @file advice_relay.h Daemons ask the policy service for each other: it answers one question of a host at a time. */
#pragma once

#include "dispatch/message_type.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <functional>

namespace flamingotally
{

/** Called once with the answer. */
using AdviceCallback = std::function<void(dispatch::AdviceAnswer)>;

/** Asks the policy service itself. */
using AdviceFunction = std::function<void(const dispatch::AdviceQuestion &, AdviceCallback)>;

/** Takes questions of peers and has them asked. */
class AdviceRelayServer
{
public:
    /**
     * Makes a server that does not listen yet.
     * @param io Runs it.
     * @param ask Asks the policy service.
     */
    AdviceRelayServer(boost::asio::io_context &io, AdviceFunction ask);

    /** Listens on "IP:port". */
    absl::Status listen(const std::string &address);

    /** Closes everything at once. */
    void close();

private:
    void handle(const HttpRequest &request, HttpResponder respond);

    AdviceFunction m_ask;
    HttpServer m_server;
};

/**
 * Has a peer ask.
 * @param client Makes the call.
 * @param question Names the peer's address and the time that it may take.
 * @param callback Called once; the answer is marked as failed when the peer gave none.
 */
void askThroughPeer(HttpClient &client, const dispatch::AdviceQuestion &question, AdviceCallback callback);

} // namespace flamingotally
