#include "systems/systems.h"

namespace flamingotally
{

void snapshotSystem(Node & /*node*/, const TickTime & /*time*/)
{
}

} // namespace flamingotally
