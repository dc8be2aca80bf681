/** @file history_table.h Names of the kinds of configuration changes. */
#pragma once

#include "core/enum_table.h"
#include "history_base.h"

namespace flamingotally
{

constexpr EnumTable<ChangeKind> changeKindTable{{
    {ChangeKind::TeamSet, "team_set"},
    {ChangeKind::TeamDeleted, "team_deleted"},
    {ChangeKind::KeyGranted, "key_granted"},
    {ChangeKind::KeyWithdrawn, "key_withdrawn"},
    {ChangeKind::ProfilePublished, "profile_published"},
    {ChangeKind::ProfileDeleted, "profile_deleted"},
    {ChangeKind::DomainOut, "domain_out"},
    {ChangeKind::DomainIn, "domain_in"},
}};
static_assert(isComplete(changeKindTable));

} // namespace flamingotally
