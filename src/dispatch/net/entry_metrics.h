/** @file entry_metrics.h The metrics of an entry daemon as Prometheus text. */
#pragma once

#include "dispatch/entry_base.h"

#include <string>
#include <string_view>

namespace flamingotally
{

/** Content type of the metrics. */
constexpr std::string_view entryMetricsType = "text/plain; version=0.0.4";

/**
 * Returns all metrics as text.
 * @param entry The daemon.
 * @param now Current time, from which ages are computed.
 */
std::string writeEntryMetrics(const dispatch::Entry &entry, MonotonicTime now);

} // namespace flamingotally
