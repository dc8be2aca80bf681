/** @file heartbeat.h Sends, receives and validates heartbeats between daemons. */
#pragma once

#include "node_func.h"

namespace flamingotally
{

/** Processes the received heartbeats and empties their inbox. */
void receiveHeartbeats(Node &node);

/** Sends a heartbeat to every other daemon when the heartbeat interval has passed. */
void sendHeartbeats(Node &node, const TickTime &time);

} // namespace flamingotally
