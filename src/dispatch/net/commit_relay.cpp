#include "dispatch/net/commit_relay.h"

#include "dispatch/codec/commit_codec.h"

#include <utility>

namespace flamingotally
{

using namespace dispatch;

namespace
{

constexpr std::string_view bytesType = "application/octet-stream";
constexpr unsigned statusOk = 200;
constexpr unsigned statusMalformed = 400;
constexpr unsigned firstServerError = 500;
constexpr unsigned statusUnavailable = 503;
/** No caller waits longer for its answer. Calls that a tick has dropped because of an error get none before that. */
constexpr Milliseconds longestCall{10'000};

/** Returns the outcome of a call with a response that is no answer of the owner. */
CommitOutcome outcomeOf(const HttpResponse &response)
{
    // such a request was never passed to the handler, or not by a daemon that knows the path
    const bool isRefusal = response.status >= statusMalformed
        && (response.status < firstServerError || response.status == statusUnavailable);
    return isRefusal ? CommitOutcome::Refused : CommitOutcome::Unknown;
}

CommitResponse responseOf(const HttpResult &result)
{
    CommitResponse response;
    if (!result.ok()) {
        response.outcome = wasNeverSent(result.status()) ? CommitOutcome::NeverSent : CommitOutcome::Unknown;
        return response;
    }
    if (result->status != statusOk) {
        response.outcome = outcomeOf(*result);
        return response;
    }
    const auto answer = decodeCommitResponse(result->body);
    // only this host knows whether the call left it
    return answer.ok() && answer->outcome != CommitOutcome::NeverSent ? *answer : response;
}

} // namespace

CommitRelay::CommitRelay(HttpClient &client, Entry &entry, std::function<void()> wake)
    : m_client(client), m_entry(entry), m_wake(std::move(wake))
{
}

void CommitRelay::sendCommit(const CommitRequest &request)
{
    HttpCall call;
    call.address = request.address;
    call.method = HttpMethod::Post;
    call.target = commitPath;
    call.contentType = bytesType;
    call.body = encodeCommitRequest(request);
    call.timeout = request.timeout;
    call.step = Step::Append;
    m_client.send(std::move(call), [this, number = request.number](const HttpResult &result) {
        auto response = responseOf(result);
        response.number = number;
        m_entry.inbox.commitResponses.push_back(response);
        m_wake();
    });
}

void CommitRelay::answerCommit(const CommitAnswer &answer)
{
    if (const auto it = m_calls.find(answer.handle); it != m_calls.end()) {
        it->second.respond(
            {.status = statusOk, .contentType = std::string(bytesType), .body = encodeCommitAnswer(answer)});
        m_calls.erase(it);
    }
}

void CommitRelay::dropLostCalls()
{
    const auto oldest = m_clock.now() - longestCall;
    while (!m_calls.empty() && m_calls.begin()->second.receivedAt < oldest) {
        m_calls.begin()->second.respond({.status = noResponseStatus});
        m_calls.erase(m_calls.begin());
    }
}

void CommitRelay::serve(const HttpRequest &request, const HttpResponder &respond)
{
    auto call = decodeCommitCall(request.body);
    if (!call.ok()) {
        respond({.status = statusMalformed});
        return;
    }
    dropLostCalls();
    call->handle = m_nextHandle++;
    m_calls.emplace(call->handle, OpenCall{respond, m_clock.now()});
    m_entry.inbox.commitCalls.push_back(*std::move(call));
    m_wake();
}

} // namespace flamingotally
