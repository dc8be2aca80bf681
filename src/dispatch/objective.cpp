#include "dispatch/objective_func.h"

#include <algorithm>

namespace flamingotally::dispatch
{

std::vector<Milliseconds> criticalPathsOf(const JobSpec &spec)
{
    std::vector<Milliseconds> criticalPaths(spec.steps.size(), Milliseconds{0});
    for (std::size_t n = spec.steps.size(); n-- > 0;) {
        criticalPaths[n] += spec.steps[n].runEstimate;
        for (const auto earlier : spec.steps[n].after) {
            criticalPaths[earlier] = std::max(criticalPaths[earlier], criticalPaths[n]);
        }
    }
    return criticalPaths;
}

Milliseconds objectiveOf(const JobPolicy &policy, const std::vector<Milliseconds> &criticalPaths)
{
    const auto longest = *std::ranges::max_element(criticalPaths);
    const auto stretched = static_cast<std::int64_t>(policy.stretch * static_cast<double>(longest.count()));
    return Milliseconds(stretched) + policy.targetLatency;
}

Timeliness timelinessOf(MonotonicTime dueAt, Milliseconds objective, Milliseconds criticalPath, MonotonicTime now)
{
    const auto doneAt = now + criticalPath;
    if (doneAt <= dueAt + objective) {
        return Timeliness::InTime;
    }
    return doneAt <= dueAt + objective * usefulFactor ? Timeliness::Late : Timeliness::TooLate;
}

} // namespace flamingotally::dispatch
