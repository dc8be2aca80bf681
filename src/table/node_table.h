/** @file node_table.h Names of the phases of a daemon and of its proposals. */
#pragma once

#include "core/enum_table.h"
#include "node_base.h"

namespace flamingotally
{

constexpr EnumTable<NodePhase> nodePhaseTable{{
    {NodePhase::CatchingUp, "catching_up"},
    {NodePhase::Serving, "serving"},
    {NodePhase::Draining, "draining"},
    {NodePhase::Drained, "drained"},
}};
static_assert(isComplete(nodePhaseTable));

constexpr EnumTable<ProposalPhase> proposalPhaseTable{{
    {ProposalPhase::Queued, "queued"},
    {ProposalPhase::InFlight, "in_flight"},
}};
static_assert(isComplete(proposalPhaseTable));

} // namespace flamingotally
