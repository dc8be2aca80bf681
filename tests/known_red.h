/** @file known_red.h Registry of the tests that fail because of known faults; KNOWN-RED.txt lists each of them. */
#pragma once

namespace flamingotally
{

/** Tests in this registry run only when the first argument of the test program names them or their suite. */
constexpr const char *knownRedRegistry = "known red";

} // namespace flamingotally
