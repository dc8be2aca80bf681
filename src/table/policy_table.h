/** @file policy_table.h Names of the scheduling policies. */
#pragma once

#include "core/enum_table.h"
#include "policy/policy_type.h"

namespace flamingotally
{

inline constexpr EnumTable<PolicyKind> policyTable{{
    {PolicyKind::Share, "share"},
    {PolicyKind::Fifo, "fifo"},
    {PolicyKind::FirstFit, "first-fit"},
    {PolicyKind::Random, "random"},
}};
static_assert(isComplete(policyTable));

constexpr const auto &namesOf(PolicyKind)
{
    return policyTable;
}

} // namespace flamingotally
