/** @file worker_client.h HTTP client of the workers. */
#pragma once

#include "net/port_context.h"

namespace flamingotally
{

/** Exchanges orders and reports with workers. */
class HttpWorkerClient
{
public:
    explicit HttpWorkerClient(const PortContext &context);

    /** Sends orders to a worker. The worker's report, or one marked as failed, arrives in Inbox::workerReports. */
    void sync(const WorkerSync &sync);

private:
    PortContext m_context;
};

} // namespace flamingotally
