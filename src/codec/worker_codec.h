/** @file worker_codec.h Encodes orders to workers, reports of workers and the platform's host list as JSON. */
#pragma once

#include "message_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace flamingotally
{

/** Encodes the orders that a daemon sends to a worker, without the worker's name and address. */
std::string encodeWorkerSync(const WorkerSync &sync);

/** Decodes the orders to a worker. Its name and address remain empty. An error when the body is malformed. */
absl::StatusOr<WorkerSync> decodeWorkerSync(std::string_view body);

/** Encodes the report with which a worker responds to orders. */
std::string encodeWorkerReport(const WorkerReport &report);

/** Decodes the report of a worker; an error when the body is malformed. */
absl::StatusOr<WorkerReport> decodeWorkerReport(std::string_view body);

/** Encodes the host list. */
std::string encodeHostList(const std::vector<HostRow> &hosts);

/** Decodes the host list; an error when the body is malformed. */
absl::StatusOr<std::vector<HostRow>> decodeHostList(std::string_view body);

} // namespace flamingotally
