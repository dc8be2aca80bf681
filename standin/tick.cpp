#include "standin_systems.h"

#include <algorithm>

namespace flamingotally::standin
{

namespace
{

constexpr Milliseconds maxTickInterval{1'000}; ///< Interval between ticks when nothing is due earlier.

} // namespace

void wakeAt(Standin &standin, MonotonicTime at)
{
    standin.nextWake = std::min(standin.nextWake, at);
}

void tick(Standin &standin, const StandinTime &time)
{
    standin.nextWake = time.now + maxTickInterval;
    faultSystem(standin, time);
    logSystem(standin, time);
    hostSystem(standin, time);
    workerSystem(standin, time);
    journalSystem(standin, time);
    standin.inbox.clear();
}

} // namespace flamingotally::standin
