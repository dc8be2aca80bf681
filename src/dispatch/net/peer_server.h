/**
 * @file peer_server.h The services of daemons for each other: they relay requests to the policy service, which serves
 * one request of a host at a time, and forward calls to the store when it refuses the caller's host.
 */
#pragma once

#include "dispatch/message_type.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <functional>

namespace flamingotally
{

/** Called once with the response. */
using AdviceCallback = std::function<void(dispatch::AdviceResponse)>;

/** Sends a request to the policy service directly. */
using AdviceFunction = std::function<void(const dispatch::AdviceRequest &, AdviceCallback)>;

/** HTTP server for the requests of peers. */
class PeerServer
{
public:
    /**
     * Creates a server that does not listen yet.
     * @param io Event loop of the server.
     * @param client Sends the forwarded calls.
     * @param storeAddress "IP:port" of the store.
     * @param ask Sends requests to the policy service.
     */
    PeerServer(boost::asio::io_context &io, HttpClient &client, std::string storeAddress, AdviceFunction requestAdvice);

    /** Listens on an address "IP:port". */
    absl::Status listen(const std::string &address);

    /** Closes the server and all connections immediately. */
    void close();

private:
    void handle(HttpRequest request, const HttpResponder &respond);
    void serveAdvice(const HttpRequest &request, const HttpResponder &respond);
    void forwardToStore(HttpRequest request, const HttpResponder &respond);

    HttpClient &m_client;
    std::string m_storeAddress;
    AdviceFunction m_requestAdvice;
    HttpServer m_server;
};

/**
 * Sends a request to the policy service through a peer.
 * @param client Sends the call.
 * @param request Contains the peer's address and the time-out.
 * @param callback Called once; the response is marked as failed when the peer sent no valid one.
 */
void requestAdviceViaPeer(HttpClient &client, const dispatch::AdviceRequest &request, AdviceCallback callback);

/**
 * Converts a call to the store into one that a peer forwards.
 * @param call The call. Its target becomes a header field, and its time-out also limits the peer's call.
 * @param peer "IP:port" of the peer.
 */
HttpCall viaPeer(HttpCall call, const std::string &peer);

} // namespace flamingotally
