/** @file host_list.h Reads the platform's host list and proposes the changes that follow from it. */
#pragma once

#include "node_func.h"

namespace flamingotally
{

/** Processes the received host lists, and requests the next one when the host list interval has passed. */
void receiveHostLists(Node &node, const TickTime &time);

/** Proposes the changes that follow from a new host list: workers and daemons that leave, return or are gone. */
void proposeFromHostList(Node &node, const TickTime &time);

/** Returns the row of a host; null if it is not on the list. */
const HostRow *findHost(const Node &node, std::string_view name);

/** Returns true if the host list arrived within the last fence, so that this daemon knows which workers are leaving. */
bool isHostListFresh(const Node &node, const TickTime &time);

/** Returns true if the list shows a host as leaving or omits the host, even if the log has no record of that yet. */
bool isLeavingOrMissing(const Node &node, const std::string &name);

} // namespace flamingotally
