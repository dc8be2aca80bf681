#include "net/clock.h"

#include <chrono>

namespace flamingotally
{

MonotonicTime SystemClock::now() const
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return MonotonicTime{std::chrono::duration_cast<Milliseconds>(sinceStart)};
}

WallTime SystemClock::wallNow() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return WallTime{std::chrono::duration_cast<Milliseconds>(sinceEpoch)};
}

} // namespace flamingotally
