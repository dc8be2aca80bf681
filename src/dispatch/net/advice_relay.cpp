#include "dispatch/net/advice_relay.h"

#include "dispatch/codec/journal_codec.h"

#include <utility>

namespace flamingotally
{

using namespace dispatch;

namespace
{

constexpr std::string_view relayPath = "/v1/advice";
constexpr std::string_view cerealType = "application/octet-stream";
constexpr unsigned statusOk = 200;
constexpr unsigned statusMalformed = 400;

} // namespace

AdviceRelayServer::AdviceRelayServer(boost::asio::io_context &io, AdviceFunction ask)
    : m_ask(std::move(ask)), m_server(io, {}, [this](const HttpRequest &request, HttpResponder respond) {
          handle(request, std::move(respond));
      })
{
}

absl::Status AdviceRelayServer::listen(const std::string &address)
{
    return m_server.listen(address);
}

void AdviceRelayServer::close()
{
    m_server.close();
}

void AdviceRelayServer::handle(const HttpRequest &request, HttpResponder respond)
{
    const auto question = decodeQuestion(request.body);
    if (request.path != relayPath || !question.ok()) {
        respond({.status = statusMalformed});
        return;
    }
    m_ask(*question, [respond = std::move(respond)](const AdviceAnswer &answer) {
        respond({.status = statusOk, .contentType = std::string(cerealType), .body = encodeAnswer(answer)});
    });
}

void askThroughPeer(HttpClient &client, const AdviceQuestion &question, AdviceCallback callback)
{
    HttpCall call;
    call.address = question.relay;
    call.method = HttpMethod::Post;
    call.target = relayPath;
    call.contentType = cerealType;
    call.body = encodeQuestion(question);
    call.timeout = question.timeout;
    call.step = Step::Place;
    client.send(std::move(call), [number = question.number, callback = std::move(callback)](const HttpResult &result) {
        if (result.ok() && result->status == statusOk) {
            if (auto answer = decodeAnswer(result->body); answer.ok()) {
                callback(*std::move(answer));
                return;
            }
        }
        AdviceAnswer failed;
        failed.number = number;
        callback(std::move(failed));
    });
}

} // namespace flamingotally
