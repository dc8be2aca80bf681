#include "dispatch/systems/systems.h"

namespace flamingotally::dispatch
{

namespace
{

constexpr Milliseconds stepTolerance{200}; ///< Smaller differences are drift and are followed immediately.
constexpr Milliseconds stepPersistence{20'000}; ///< A step that lasts longer is adopted.

} // namespace

void wallClockSystem(Entry &entry, const TickTime &time)
{
    auto &wall = entry.wall;
    const auto offset = time.wall.time_since_epoch() - time.now.time_since_epoch();
    if (!wall.known || std::chrono::abs(offset - wall.offset) <= stepTolerance) {
        wall.known = true;
        wall.offset = offset;
        wall.candidateSince = {};
        return;
    }
    const bool isSameStep =
        wall.candidateSince != MonotonicTime{} && std::chrono::abs(offset - wall.candidate) <= stepTolerance;
    if (!isSameStep) {
        wall.candidate = offset;
        wall.candidateSince = time.now;
    } else if (time.now - wall.candidateSince > stepPersistence) {
        wall.offset = offset;
        wall.candidateSince = {};
    }
}

} // namespace flamingotally::dispatch
