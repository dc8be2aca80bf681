/** @file dispatch_fixture.h What the tests of entry daemons share. */
#pragma once

#include "fakes/dispatch_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace flamingotally::fakes
{

constexpr Milliseconds settleTime{2'000}; ///< Time within which a first owner exists and has polled the workers.

} // namespace flamingotally::fakes
