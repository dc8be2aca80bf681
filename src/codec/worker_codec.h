/** @file worker_codec.h Exchanges with workers and the platform's host list in JSON. */
#pragma once

#include "message_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace flamingotally
{

/** Writes the orders of an exchange. Address and name are not part of it. */
std::string encodeWorkerSync(const WorkerSync &sync);

absl::StatusOr<WorkerSync> decodeWorkerSync(std::string_view body);

/** Writes a worker's answer. */
std::string encodeWorkerReport(const WorkerReport &report);

absl::StatusOr<WorkerReport> decodeWorkerReport(std::string_view body);

/** Writes the host list. */
std::string encodeHostList(const std::vector<HostRow> &hosts);

absl::StatusOr<std::vector<HostRow>> decodeHostList(std::string_view body);

} // namespace flamingotally
