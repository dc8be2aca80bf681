/**
 * @file peer_server.h The services that daemons provide for each other. They relay requests to the policy service,
 * because the service serves only one request of a host at a time. They forward calls to the store, because the store
 * may refuse the calling daemon's host.
 */
#pragma once

#include "dispatch/message_type.h"
#include "net/http_client.h"
#include "net/http_server.h"

#include <functional>
#include <string>
#include <vector>

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
     * @param client Sends the calls that are forwarded to the store.
     * @param storeAddress "IP:port" of the store.
     * @param requestAdvice Sends the requests of peers to the policy service.
     * @param settings Limits of the server; that of bodies is replaced.
     */
    PeerServer(boost::asio::io_context &io,
               HttpClient &client,
               std::string storeAddress,
               AdviceFunction requestAdvice,
               HttpServerSettings settings = {});

    /** Adds a service: requests to a path go to a handler. Call it before accept(). */
    void addRoute(std::string path, HttpHandler handler);

    /** Takes an address "IP:port"; see HttpServer::bind(). */
    absl::Status bind(const std::string &address);

    /** Starts to accept connections, after bind() has succeeded. */
    void accept();

    /** Takes an address and starts to accept connections. */
    absl::Status listen(const std::string &address);

    /** Closes the server and all connections immediately. */
    void close();

private:
    /** A service with the path of its requests. */
    struct Route {
        std::string path;
        HttpHandler handler;
    };

    void handle(HttpRequest request, const HttpResponder &respond);
    void serveAdvice(const HttpRequest &request, const HttpResponder &respond);
    void forwardToStore(HttpRequest request, const HttpResponder &respond);

    HttpClient &m_client;
    std::string m_storeAddress;
    AdviceFunction m_requestAdvice;
    std::vector<Route> m_routes;
    HttpServer m_server;
};

/**
 * Sends a request to the policy service through a peer.
 * @param client Sends the call to the peer.
 * @param request The request; it contains the peer's address (`relay`) and the time-out.
 * @param callback Called once with the response; it is marked as failed when the peer sent no valid response.
 */
void requestAdviceViaPeer(HttpClient &client, const dispatch::AdviceRequest &request, AdviceCallback callback);

/**
 * Converts a call to the store into one that a peer forwards.
 * @param call The call. Its target and time-out become header fields, and the time-out limits the peer's own call.
 * @param peer "IP:port" of the peer.
 */
HttpCall viaPeer(HttpCall call, const std::string &peer);

} // namespace flamingotally
