/** @file worker_client.h Workers over HTTP. */
#pragma once

#include "net/port_context.h"

namespace flamingotally
{

/** Exchanges orders and reports with workers. */
class HttpWorkerClient
{
public:
    explicit HttpWorkerClient(const PortContext &context);

    /** Sends orders; the report arrives in the inbox, marked as failed when there is none. */
    void sync(const WorkerSync &sync);

private:
    PortContext m_context;
};

} // namespace flamingotally
