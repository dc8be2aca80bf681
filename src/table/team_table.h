/** @file team_table.h Names of the roles of keys. */
#pragma once

#include "core/enum_table.h"
#include "team_type.h"

namespace flamingotally
{

constexpr EnumTable<KeyRole> keyRoleTable{{
    {KeyRole::Submitter, "submitter"},
    {KeyRole::Operator, "operator"},
}};
static_assert(isComplete(keyRoleTable));

constexpr const auto &namesOf(KeyRole)
{
    return keyRoleTable;
}

} // namespace flamingotally
