#include "net/host_list_client.h"

#include "codec/worker_codec.h"
#include "net/http_etag.h"

#include <utility>

namespace flamingotally
{

namespace
{

constexpr unsigned statusOk = 200;

} // namespace

HttpHostList::HttpHostList(const PortContext &context) : m_context(context)
{
}

void HttpHostList::readHosts()
{
    HttpCall call;
    call.address = m_context.settings.hostListAddress;
    call.target = "/v1/hosts";
    call.timeout = m_context.settings.appendTimeout;
    call.step = Step::ListHosts;
    if (!m_tag.empty()) {
        call.fields.push_back({"If-None-Match", m_tag});
    }
    m_context.http.send(std::move(call), [this](const HttpResult &result) {
        m_context.inbox.hostLists.push_back(handleResponse(result));
        m_context.wake();
    });
}

HostListRead HttpHostList::handleResponse(const HttpResult &result)
{
    HostListRead failed;
    failed.failed = true;
    if (!result.ok()) {
        return failed;
    }
    if (result->status == notModifiedStatus) {
        return m_last;
    }
    auto hosts = decodeHostList(result->body);
    if (result->status != statusOk || !hosts.ok()) {
        return failed;
    }
    m_last.hosts = *std::move(hosts);
    m_tag = fieldValue(result->fields, "ETag");
    return m_last;
}

} // namespace flamingotally
