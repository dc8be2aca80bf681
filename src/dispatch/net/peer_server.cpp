#include "dispatch/net/peer_server.h"

#include "dispatch/codec/journal_codec.h"
#include "net/http_error.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace flamingotally
{

using namespace dispatch;

namespace
{

constexpr std::string_view advicePath = "/v1/advice";
constexpr std::string_view storePath = "/v1/store";
constexpr std::string_view targetField = "Store-Target"; ///< Header field with the target of the forwarded call.
constexpr std::string_view timeoutField = "Store-Timeout-Ms"; ///< Header field with the time-out of the forwarded call.
constexpr std::string_view bytesType = "application/octet-stream";
constexpr unsigned statusOk = 200;
constexpr unsigned statusMalformed = 400;
/** The forwarded call did not leave the peer, so it was certainly not executed. */
constexpr unsigned statusNotSent = 503;
/** Maximum size of a forwarded request or response. */
constexpr std::size_t maxStoreBytes = std::size_t{8} * 1024 * 1024;
/** Added to the time-out of a forwarded call, for the hops to and from the peer. */
constexpr Milliseconds forwardingSlack{100};

HttpServerSettings withPeerBodies(HttpServerSettings settings)
{
    settings.maxBodyBytes = maxStoreBytes;
    return settings;
}

/** Returns the time-out for a call that is to be forwarded; 1 s without a valid header field. */
Milliseconds timeoutOf(const HttpRequest &request)
{
    const auto text = fieldValue(request.fields, timeoutField);
    std::int64_t ms = 1'000;
    std::from_chars(text.data(), text.data() + text.size(), ms);
    return Milliseconds(ms);
}

} // namespace

PeerServer::PeerServer(boost::asio::io_context &io,
                       HttpClient &client,
                       std::string storeAddress,
                       AdviceFunction requestAdvice,
                       HttpServerSettings settings)
    : m_client(client), m_storeAddress(std::move(storeAddress)), m_requestAdvice(std::move(requestAdvice)),
      m_server(io, withPeerBodies(std::move(settings)), [this](HttpRequest request, const HttpResponder &respond) {
          handle(std::move(request), respond);
      })
{
    addRoute(std::string(advicePath),
             [this](const HttpRequest &request, const HttpResponder &respond) { serveAdvice(request, respond); });
    addRoute(std::string(storePath), [this](HttpRequest request, const HttpResponder &respond) {
        forwardToStore(std::move(request), respond);
    });
}

void PeerServer::addRoute(std::string path, HttpHandler handler)
{
    m_routes.push_back({std::move(path), std::move(handler)});
}

absl::Status PeerServer::bind(const std::string &address)
{
    return m_server.bind(address);
}

void PeerServer::accept()
{
    m_server.accept();
}

absl::Status PeerServer::listen(const std::string &address)
{
    return m_server.listen(address);
}

void PeerServer::close()
{
    m_server.close();
}

void PeerServer::handle(HttpRequest request, const HttpResponder &respond)
{
    if (const auto it = std::ranges::find(m_routes, request.path, &Route::path); it != m_routes.end()) {
        it->handler(std::move(request), respond);
    } else {
        respond({.status = statusMalformed});
    }
}

void PeerServer::serveAdvice(const HttpRequest &request, const HttpResponder &respond)
{
    const auto adviceRequest = decodeAdviceRequest(request.body);
    if (!adviceRequest.ok()) {
        respond({.status = statusMalformed});
        return;
    }
    m_requestAdvice(*adviceRequest, [respond](const AdviceResponse &response) {
        respond({.status = statusOk, .contentType = std::string(bytesType), .body = encodeAdviceResponse(response)});
    });
}

void PeerServer::forwardToStore(HttpRequest request, const HttpResponder &respond)
{
    HttpCall call;
    call.address = m_storeAddress;
    call.method = request.method;
    call.target = fieldValue(request.fields, targetField);
    call.contentType = bytesType;
    call.body = std::move(request.body);
    call.timeout = timeoutOf(request);
    call.maxResponseBytes = maxStoreBytes;
    call.step = Step::Append;
    m_client.send(std::move(call), [respond](const HttpResult &result) {
        if (result.ok()) {
            respond({.status = result->status, .contentType = result->contentType, .body = result->body});
        } else if (wasNeverSent(result.status())) {
            respond({.status = statusNotSent});
        } else {
            respond({.status = noResponseStatus});
        }
    });
}

void requestAdviceViaPeer(HttpClient &client, const AdviceRequest &request, AdviceCallback callback)
{
    HttpCall call;
    call.address = request.relay;
    call.method = HttpMethod::Post;
    call.target = advicePath;
    call.contentType = bytesType;
    call.body = encodeAdviceRequest(request);
    call.timeout = request.timeout;
    call.step = Step::Place;
    client.send(std::move(call), [number = request.number, callback = std::move(callback)](const HttpResult &result) {
        if (result.ok() && result->status == statusOk) {
            if (auto response = decodeAdviceResponse(result->body); response.ok()) {
                callback(*std::move(response));
                return;
            }
        }
        AdviceResponse failed;
        failed.number = number;
        callback(std::move(failed));
    });
}

HttpCall viaPeer(HttpCall call, const std::string &peer)
{
    call.address = peer;
    call.fields.push_back({std::string(targetField), std::exchange(call.target, std::string(storePath))});
    call.fields.push_back({std::string(timeoutField), std::to_string(call.timeout.count())});
    call.timeout += forwardingSlack;
    return call;
}

} // namespace flamingotally
