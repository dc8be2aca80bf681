/** @file host_list.h What the platform's host list says, and the records that follow from it. */
#pragma once

#include "node_func.h"

namespace flamingotally
{

/** Takes in host lists that arrived, and asks for the next one when it is time. */
void takeHostLists(Node &node, const TickTime &time);

/** Proposes what the host list says of workers and daemons: leaving, back, gone. */
void proposeFromHostList(Node &node, const TickTime &time);

/** Row of a host; null when the list does not name it. */
const HostRow *findHost(const Node &node, std::string_view name);

/** Tells whether the host list was read within the fence, so that this daemon knows which workers leave. */
bool knowsHosts(const Node &node, const TickTime &time);

/** Tells whether a host leaves or is gone by the list, whether or not the record that says so is in the log yet. */
bool leavesByList(const Node &node, const std::string &name);

} // namespace flamingotally
