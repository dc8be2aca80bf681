/** @file metrics.h The daemon's figures as Prometheus text. */
#pragma once

#include "node_base.h"

#include <string>
#include <string_view>

namespace flamingotally
{

/** Writes the counters and gauges of a node. */
class Metrics
{
public:
    static constexpr std::string_view contentType = "text/plain; version=0.0.4";

    /**
     * Writes all figures.
     * @param node The daemon.
     * @param now Reading of the clock, for the age of the view.
     */
    std::string serialize(const Node &node, MonotonicTime now) const;
};

} // namespace flamingotally
