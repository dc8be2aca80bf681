/** @file worker_codec.h JSON encoding of the exchanges with workers and of the host list of the platform. */
#pragma once

#include "message_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace flamingotally
{

/** Encodes the orders that a daemon sends to a worker. The name and address of the worker are not encoded. */
std::string encodeWorkerSync(const WorkerSync &sync);

/** Decodes the orders for a worker, with an empty name and address; an error when the body is malformed. */
absl::StatusOr<WorkerSync> decodeWorkerSync(std::string_view body);

/** Encodes the response of a worker. */
std::string encodeWorkerReport(const WorkerReport &report);

/** Decodes the response of a worker; an error when the body is malformed. */
absl::StatusOr<WorkerReport> decodeWorkerReport(std::string_view body);

/** Encodes the host list. */
std::string encodeHostList(const std::vector<HostRow> &hosts);

/** Decodes the host list; an error when the body is malformed. */
absl::StatusOr<std::vector<HostRow>> decodeHostList(std::string_view body);

} // namespace flamingotally
