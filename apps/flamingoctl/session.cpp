#include "session.h"

#include "core/error.h"
#include "net/http_target.h"
#include "output.h"
#include "request_type.h"
#include "table/reason_table.h"

#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <random>

namespace flamingotally
{

namespace
{

/** Makes the result of a request to which the server sent no response. */
CtlResponse makeFailure(const absl::Status &status)
{
    CtlResponse response;
    response.code = wasNeverSent(status) ? ExitCode::Unavailable : ExitCode::OutcomeUnknown;
    response.body = messageOf(status);
    return response;
}

/** Returns the reason in an error response; `std::nullopt` when the response has no reason or an unknown one. */
std::optional<Reason> errorReason(const boost::json::value &json)
{
    return valueFromName(reasonTable, textAt(json, "error.reason"));
}

CtlResponse makeResponse(HttpResponse httpResponse)
{
    CtlResponse response;
    response.status = httpResponse.status;
    response.code = exitCodeOf(httpResponse.status);
    response.body = std::move(httpResponse.body);
    if (httpResponse.contentType.starts_with("application/json")) {
        boost::system::error_code ec;
        response.json = boost::json::parse(response.body, ec);
    }
    if (response.code == ExitCode::OutcomeUnknown && errorReason(response.json) == Reason::DeadlinePassed) {
        response.code = ExitCode::Unavailable; // The server did not execute the request.
    }
    return response;
}

/** Returns whether a failed request may be sent to the next server without the risk that it is executed twice. */
bool mayTryNext(const CtlRequest &request, const CtlResponse &response)
{
    const bool isRepeatable = request.method == HttpMethod::Get || !request.id.empty();
    return response.code == ExitCode::Unavailable || (response.code == ExitCode::OutcomeUnknown && isRepeatable);
}

} // namespace

Session::Session(CtlOptions options)
    : m_options(std::move(options)), m_deadline(m_clock.now() + m_options.timeout), m_client(m_io)
{
}

CtlResponse Session::call(const CtlRequest &request)
{
    CtlResponse response;
    for (const auto &it : m_options.servers) {
        response = callServer(it, request);
        if (!mayTryNext(request, response)) {
            break;
        }
    }
    return response;
}

CtlResponse Session::callServer(const std::string &server, const CtlRequest &request)
{
    HttpCall httpCall;
    httpCall.address = server;
    httpCall.method = request.method;
    httpCall.target = encodeTarget(request.path, request.query);
    httpCall.body = request.body;
    httpCall.contentType = request.contentType;
    httpCall.timeout = std::max(m_deadline - m_clock.now(), Milliseconds{1});
    httpCall.maxResponseBytes = std::size_t{80} * 1024 * 1024;
    if (!m_options.key.empty()) {
        httpCall.fields.push_back({"Authorization", "Bearer " + m_options.key});
    }
    if (!request.id.empty()) {
        httpCall.fields.push_back({"Idempotency-Key", request.id});
    }
    std::optional<CtlResponse> response;
    m_client.send(std::move(httpCall), [&response](HttpResult result) {
        response = result.ok() ? makeResponse(*std::move(result)) : makeFailure(result.status());
    });
    m_io.restart();
    while (!response && m_io.run_one() > 0) { }
    return response.value_or(CtlResponse{});
}

void Session::pause(Milliseconds duration)
{
    boost::asio::steady_timer timer(m_io, duration);
    bool hasExpired = false;
    timer.async_wait([&hasExpired](const boost::system::error_code &) { hasExpired = true; });
    m_io.restart();
    while (!hasExpired && m_io.run_one() > 0) { }
}

bool Session::isPastDeadline() const
{
    return m_clock.now() >= m_deadline;
}

std::string Session::makeId() const
{
    std::random_device device;
    const auto word = [&device] {
        return (std::uint64_t{device()} << 32) | device();
    };
    return toString(makeRequestId(m_clock.wallNow(), word(), word()));
}

} // namespace flamingotally
