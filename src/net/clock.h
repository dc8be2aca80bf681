/** @file clock.h System clock of the daemons. No other code reads the time from the system. */
#pragma once

#include "core/time_type.h"

namespace flamingotally
{

/** Reads the clocks of the machine. */
class SystemClock
{
public:
    /** Returns the time since the machine's boot, including time in suspend, because leases keep running then. */
    MonotonicTime now() const;

    /** Returns the wall time in milliseconds since the Unix epoch. */
    WallTime wallNow() const;
};

} // namespace flamingotally
