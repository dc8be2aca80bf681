/** @file heartbeat.h Sends, receives and validates heartbeats between daemons. */
#pragma once

#include "node_func.h"

namespace flamingotally
{

/** Processes the received heartbeats and empties their inbox. */
void receiveHeartbeats(Node &node);

/**
 * Sends heartbeats when the heartbeat interval has passed: to every other daemon, and to the listed entry hosts whose
 * daemons have not joined yet.
 */
void sendHeartbeats(Node &node, const TickTime &time);

} // namespace flamingotally
