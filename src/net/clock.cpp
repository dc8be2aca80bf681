#include "net/clock.h"

#include <chrono>
#include <ctime>

namespace flamingotally
{

MonotonicTime SystemClock::now() const
{
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    const auto sinceBoot = std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
    return MonotonicTime{std::chrono::duration_cast<Milliseconds>(sinceBoot)};
}

WallTime SystemClock::wallNow() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return WallTime{std::chrono::duration_cast<Milliseconds>(sinceEpoch)};
}

} // namespace flamingotally
