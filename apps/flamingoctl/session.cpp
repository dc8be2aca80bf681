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

/** Answer that stands for a call without one. */
CtlAnswer failureOf(const absl::Status &status)
{
    CtlAnswer answer;
    answer.code = wasNeverSent(status) ? ExitCode::Unavailable : ExitCode::OutcomeUnknown;
    answer.body = messageOf(status);
    return answer;
}

/** Reason that an error answer bears; nothing when it bears none that is known. */
std::optional<Reason> reasonOf(const boost::json::value &json)
{
    return valueFromName(reasonTable, textAt(json, "error.reason"));
}

CtlAnswer answerOf(HttpResponse response)
{
    CtlAnswer answer;
    answer.status = response.status;
    answer.code = exitCodeOf(response.status);
    answer.body = std::move(response.body);
    if (response.contentType.starts_with("application/json")) {
        boost::system::error_code ec;
        answer.json = boost::json::parse(answer.body, ec);
    }
    if (answer.code == ExitCode::OutcomeUnknown && reasonOf(answer.json) == Reason::DeadlinePassed) {
        answer.code = ExitCode::Unavailable; // Surely not run.
    }
    return answer;
}

/** Tells whether the next server may be asked. */
bool mayTryNext(const CtlCall &call, const CtlAnswer &answer)
{
    const bool isRepeatable = call.method == HttpMethod::Get || !call.id.empty();
    return answer.code == ExitCode::Unavailable || (answer.code == ExitCode::OutcomeUnknown && isRepeatable);
}

} // namespace

Session::Session(CtlOptions options)
    : m_options(std::move(options)), m_deadline(m_clock.now() + m_options.timeout), m_client(m_io)
{
}

CtlAnswer Session::call(const CtlCall &call)
{
    CtlAnswer answer;
    for (const auto &it : m_options.servers) {
        answer = callOne(it, call);
        if (!mayTryNext(call, answer)) {
            break;
        }
    }
    return answer;
}

CtlAnswer Session::callOne(const std::string &server, const CtlCall &call)
{
    HttpCall sent;
    sent.address = server;
    sent.method = call.method;
    sent.target = encodeTarget(call.path, call.query);
    sent.body = call.body;
    sent.contentType = call.contentType;
    sent.timeout = std::max(m_deadline - m_clock.now(), Milliseconds{1});
    sent.maxResponseBytes = std::size_t{80} * 1024 * 1024;
    if (!m_options.key.empty()) {
        sent.fields.push_back({"Authorization", "Bearer " + m_options.key});
    }
    if (!call.id.empty()) {
        sent.fields.push_back({"Idempotency-Key", call.id});
    }
    std::optional<CtlAnswer> answer;
    m_client.send(std::move(sent), [&answer](HttpResult result) {
        answer = result.ok() ? answerOf(*std::move(result)) : failureOf(result.status());
    });
    m_io.restart();
    while (!answer && m_io.run_one() > 0) { }
    return answer.value_or(CtlAnswer{});
}

void Session::pause(Milliseconds duration)
{
    boost::asio::steady_timer timer(m_io, duration);
    bool isOver = false;
    timer.async_wait([&isOver](const boost::system::error_code &) { isOver = true; });
    m_io.restart();
    while (!isOver && m_io.run_one() > 0) { }
}

bool Session::isOverdue() const
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
