/** @file message_table.h Names of the outcomes of appends and of the roles of hosts. */
#pragma once

#include "core/enum_table.h"
#include "message_type.h"

namespace flamingotally
{

constexpr EnumTable<AppendOutcome> appendOutcomeTable{{
    {AppendOutcome::Stored, "stored"},
    {AppendOutcome::Refused, "refused"},
    {AppendOutcome::Unknown, "unknown"},
}};
static_assert(isComplete(appendOutcomeTable));

constexpr EnumTable<HostRole> hostRoleTable{{
    {HostRole::Entry, "entry"},
    {HostRole::Worker, "worker"},
}};
static_assert(isComplete(hostRoleTable));

} // namespace flamingotally
