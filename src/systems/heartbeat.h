/** @file heartbeat.h Heartbeats between daemons: what is said, and what may be believed of it. */
#pragma once

#include "node_func.h"

namespace flamingotally
{

/** Takes in the heartbeats that arrived. */
void takeHeartbeats(Node &node);

/** Sends a heartbeat to every other daemon when it is time. */
void sendHeartbeats(Node &node, const TickTime &time);

} // namespace flamingotally
