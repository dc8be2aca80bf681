/** @file host_list_client.h HTTP client of the platform's host list. */
#pragma once

#include "net/http_type.h"
#include "net/port_context.h"

namespace flamingotally
{

/** Reads the platform's host list and retains the last valid list. */
class HttpHostList
{
public:
    explicit HttpHostList(const PortContext &context);

    /**
     * Requests the list; the result, including a failed one, arrives in Inbox::hostLists. If the list has not changed,
     * the retained list arrives there again.
     */
    void readHosts();

private:
    HostListRead handleResponse(const HttpResult &result);

    PortContext m_context;
    std::string m_tag; ///< Entity tag of the retained list; empty before the first list.
    HostListRead m_last; ///< The retained list.
};

} // namespace flamingotally
