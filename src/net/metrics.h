/** @file metrics.h Metrics of the daemon in the Prometheus text format. */
#pragma once

#include "node_base.h"

#include <string>
#include <string_view>

namespace flamingotally
{

/** Formats the counters and gauges of a node. */
class Metrics
{
public:
    static constexpr std::string_view contentType = "text/plain; version=0.0.4";

    /**
     * Formats all metrics.
     * @param node The daemon.
     * @param now Current time, for the age of the view.
     * @return Prometheus text of type `contentType`.
     */
    std::string serialize(const Node &node, MonotonicTime now) const;
};

} // namespace flamingotally
