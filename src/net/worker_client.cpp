#include "net/worker_client.h"

#include "codec/worker_codec.h"

#include <utility>

namespace flamingotally
{

namespace
{

constexpr unsigned statusOk = 200;

/** Decodes a report. A report of another worker, to which the address has been reassigned, counts as failed. */
WorkerReport toReport(const HttpResult &result, const std::string &worker)
{
    WorkerReport report;
    report.worker = worker;
    report.failed = true;
    if (!result.ok() || result->status != statusOk) {
        return report;
    }
    auto decoded = decodeWorkerReport(result->body);
    return decoded.ok() && decoded->worker == worker ? *std::move(decoded) : report;
}

} // namespace

HttpWorkerClient::HttpWorkerClient(const PortContext &context) : m_context(context)
{
}

void HttpWorkerClient::sync(const WorkerSync &sync)
{
    HttpCall call;
    call.address = sync.address;
    call.method = HttpMethod::Post;
    call.target = "/v1/sync";
    call.body = encodeWorkerSync(sync);
    call.timeout = sync.wait + m_context.settings.workerTimeout;
    call.step = Step::Sync;
    const bool hadWait = sync.wait > Milliseconds{0};
    m_context.http.send(std::move(call), [this, worker = sync.worker, hadWait](const HttpResult &result) {
        auto report = toReport(result, worker);
        report.receivedAt = m_context.clock.now();
        report.hadWait = hadWait;
        m_context.inbox.workerReports.push_back(std::move(report));
        m_context.wake();
    });
}

} // namespace flamingotally
