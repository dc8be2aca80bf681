#include "dispatch/systems/systems.h"

namespace flamingotally::dispatch
{

namespace
{

/** Changes of the offset up to this size are drift and are adopted immediately. */
constexpr Milliseconds stepTolerance{200};
/** A larger change (a step) is adopted once it has lasted longer than this. */
constexpr Milliseconds stepPersistence{20'000};

} // namespace

void wallClockSystem(Entry &entry, const TickTime &time)
{
    auto &wall = entry.wall;
    const auto offset = time.wall.time_since_epoch() - time.now.time_since_epoch();
    if (!wall.wasRead || std::chrono::abs(offset - wall.offset) <= stepTolerance) {
        wall.wasRead = true;
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
