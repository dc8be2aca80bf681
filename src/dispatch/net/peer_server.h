/**
 * @file peer_server.h What daemons do for each other: ask the policy service, which answers one question of a host at
 * a time, and pass on calls to a store that turns the caller's host away.
 */
#pragma once

#include "dispatch/message_type.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <functional>

namespace flamingotally
{

/** Called once with the answer. */
using AdviceCallback = std::function<void(dispatch::AdviceResponse)>;

/** Asks the policy service itself. */
using AdviceFunction = std::function<void(const dispatch::AdviceRequest &, AdviceCallback)>;

/** Serves peers. */
class PeerServer
{
public:
    /**
     * Makes a server that does not listen yet.
     * @param io Runs it.
     * @param client Makes the calls that are passed on.
     * @param storeAddress "IP:port" of the store.
     * @param ask Asks the policy service.
     */
    PeerServer(boost::asio::io_context &io, HttpClient &client, std::string storeAddress, AdviceFunction ask);

    /** Listens on "IP:port". */
    absl::Status listen(const std::string &address);

    /** Closes everything at once. */
    void close();

private:
    void handle(HttpRequest request, const HttpResponder &respond);
    void answerQuestion(const HttpRequest &request, const HttpResponder &respond);
    void passOn(HttpRequest request, const HttpResponder &respond);

    HttpClient &m_client;
    std::string m_storeAddress;
    AdviceFunction m_ask;
    HttpServer m_server;
};

/**
 * Has a peer ask the policy service.
 * @param client Makes the call.
 * @param question Names the peer's address and the time that it may take.
 * @param callback Called once; the answer is marked as failed when the peer gave none.
 */
void requestAdviceViaPeer(HttpClient &client, const dispatch::AdviceRequest &question, AdviceCallback callback);

/**
 * Makes a call to the store into one that a peer passes on.
 * @param call The call; its target is kept as a field, its timeout also bounds the peer's call.
 * @param peer "IP:port" of the peer.
 */
HttpCall viaPeer(HttpCall call, const std::string &peer);

} // namespace flamingotally
