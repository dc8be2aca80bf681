#include "net/host_list_client.h"

#include "codec/worker_codec.h"

#include <utility>

namespace flamingotally
{

namespace
{

constexpr unsigned statusOk = 200;

HostListRead toRead(const HttpResult &result)
{
    HostListRead read;
    read.failed = true;
    if (!result.ok() || result->status != statusOk) {
        return read;
    }
    if (auto hosts = decodeHostList(result->body); hosts.ok()) {
        read.hosts = *std::move(hosts);
        read.failed = false;
    }
    return read;
}

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
    m_context.http.send(std::move(call), [this](const HttpResult &result) {
        m_context.inbox.hostLists.push_back(toRead(result));
        m_context.wake();
    });
}

} // namespace flamingotally
