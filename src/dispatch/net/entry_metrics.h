/** @file entry_metrics.h The figures of an entry daemon as Prometheus text. */
#pragma once

#include "dispatch/entry_base.h"

#include <string>
#include <string_view>

namespace flamingotally
{

constexpr std::string_view entryMetricsType = "text/plain; version=0.0.4";

/**
 * Writes all figures.
 * @param entry The daemon.
 * @param now Reading of the clock, for ages.
 */
std::string writeEntryMetrics(const dispatch::Entry &entry, MonotonicTime now);

} // namespace flamingotally
