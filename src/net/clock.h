/** @file clock.h The runtime's clock in the daemons. The only place of the product that reads the time. */
#pragma once

#include "core/time_type.h"

namespace flamingotally
{

/** Reads the clocks of the machine. */
class SystemClock
{
public:
    /** Time since the machine's boot. Counts the time for which the machine was suspended, as leases do. */
    MonotonicTime now() const;
    WallTime wallNow() const;
};

} // namespace flamingotally
