/** @file host_list_client.h The platform's host list over HTTP. */
#pragma once

#include "net/port_context.h"

namespace flamingotally
{

/** Reads the platform's host list. */
class HttpHostList
{
public:
    explicit HttpHostList(const PortContext &context);

    /** Reads the whole list. */
    void readHosts();

private:
    PortContext m_context;
};

} // namespace flamingotally
