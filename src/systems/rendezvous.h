/** @file rendezvous.h Rendezvous hashing over the live daemons. */
#pragma once

#include "node_func.h"

#include <string_view>

namespace flamingotally
{

/**
 * Chooses the live daemon that has the highest weight for a key. When a daemon comes or goes, only its own keys move.
 * @param node The daemon that asks; its view of who is live counts.
 * @param key What the choice is about.
 * @param time Time of the tick.
 * @param domain Prefer the daemons of this failure domain; unset for all alike.
 * @return Its address; unset when no daemon is live.
 */
DaemonRef rendezvousDaemon(const Node &node, std::string_view key, const TickTime &time, DomainRef domain = {});

/** Tells whether rendezvousDaemon() chooses this daemon itself. */
bool isChosen(const Node &node, std::string_view key, const TickTime &time, DomainRef domain = {});

} // namespace flamingotally
