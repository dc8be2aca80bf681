/** @file rendezvous.h Rendezvous hashing over the live daemons. */
#pragma once

#include "node_func.h"

#include <string_view>

namespace flamingotally
{

/**
 * Chooses the live daemon that has the highest weight for a key. When a daemon joins or leaves, the choice
 * changes only for the keys for which that daemon is chosen.
 * @param node This daemon, whose view decides which daemons are live.
 * @param key Name of the duty or object for which one daemon is chosen.
 * @param time Time of the tick.
 * @param domain Failure domain whose daemons are preferred; unset for no preference.
 * @return Reference to the daemon; unset if no daemon is live.
 */
DaemonRef rendezvousDaemon(const Node &node, std::string_view key, const TickTime &time, DomainRef domain = {});

/** Returns true if rendezvousDaemon() chooses this daemon. */
bool isRendezvousChoice(const Node &node, std::string_view key, const TickTime &time, DomainRef domain = {});

} // namespace flamingotally
