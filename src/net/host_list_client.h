/** @file host_list_client.h The platform's host list over HTTP. */
#pragma once

#include "net/http_type.h"
#include "net/port_context.h"

namespace flamingotally
{

/** Reads the platform's host list. */
class HttpHostList
{
public:
    explicit HttpHostList(const PortContext &context);

    /** Reads the list. One that has not changed is not sent again: the one at hand is delivered. */
    void readHosts();

private:
    HostListRead take(const HttpResult &result);

    PortContext m_context;
    std::string m_tag; ///< Entity tag of the list at hand; empty when there is none.
    HostListRead m_last;
};

} // namespace flamingotally
