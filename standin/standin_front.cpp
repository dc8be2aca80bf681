#include "standin_front.h"

#include "codec/worker_codec.h"
#include "net/http_error.h"
#include "net/http_etag.h"
#include "standin_codec.h"

#include <charconv>
#include <utility>

namespace flamingotally::standin
{

namespace
{

constexpr std::string_view resultPath = "/v1/results/";
constexpr unsigned notFound = 404;

HttpResponse errorResponse(const absl::Status &status)
{
    HttpError error;
    error.detail = std::string(status.message());
    return makeErrorResponse(error);
}

HttpResponse unknownPathResponse()
{
    HttpError error;
    error.detail = "No such path.";
    error.status = notFound;
    return makeErrorResponse(error);
}

bool matches(const HttpRequest &request, HttpMethod method, std::string_view path)
{
    return request.method == method && request.path == path;
}

} // namespace

StandinFront::StandinFront(Standin &standin, std::function<void()> wake) : m_standin(standin), m_wake(std::move(wake))
{
}

void StandinFront::accept(RequestBody body, const HttpResponder &responder)
{
    const auto handle = m_nextHandle++;
    m_responders.emplace(handle, responder);
    m_standin.inbox.push_back({handle, std::move(body)});
    m_wake();
}

void StandinFront::handlePlatform(HttpRequest request, const HttpResponder &responder)
{
    if (matches(request, HttpMethod::Post, "/v1/log/append")) {
        accept(AppendRequest{std::move(request.body)}, responder);
    } else if (matches(request, HttpMethod::Get, "/v1/log/records")) {
        if (const auto read = parseRead(request); read.ok()) {
            accept(*read, responder);
        } else {
            responder(errorResponse(read.status()));
        }
    } else if (matches(request, HttpMethod::Get, "/v1/hosts")) {
        accept(HostsRequest{}, withEntityTag(request, responder));
    } else if (matches(request, HttpMethod::Get, "/v1/journal")) {
        accept(JournalRequest{}, responder);
    } else if (matches(request, HttpMethod::Post, "/v1/faults")) {
        if (auto faults = parseFaults(m_standin, request.body); faults.ok()) {
            accept(*std::move(faults), responder);
        } else {
            responder(errorResponse(faults.status()));
        }
    } else {
        responder(unknownPathResponse());
    }
}

void StandinFront::handleWorker(std::size_t worker, HttpRequest request, const HttpResponder &responder)
{
    if (matches(request, HttpMethod::Post, "/v1/sync")) {
        if (auto sync = decodeWorkerSync(request.body); sync.ok()) {
            accept(SyncRequest{worker, *std::move(sync)}, responder);
        } else {
            responder(errorResponse(sync.status()));
        }
        return;
    }
    AttemptNumber attempt = 0;
    const auto *end = request.path.data() + request.path.size();
    const bool isResult = request.method == HttpMethod::Get && request.path.starts_with(resultPath)
        && std::from_chars(request.path.data() + resultPath.size(), end, attempt).ptr == end;
    if (isResult) {
        accept(ResultRequest{worker, attempt}, responder);
    } else {
        responder(unknownPathResponse());
    }
}

void StandinFront::deliver()
{
    for (const auto &[handle, body] : std::exchange(m_standin.outbox, {})) {
        if (auto node = m_responders.extract(handle)) {
            node.mapped()(toHttpResponse(m_standin, body));
        }
    }
}

} // namespace flamingotally::standin
