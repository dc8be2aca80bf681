/** @file profile_table.h Names of the enumerators of the fields of a profile. */
#pragma once

#include "core/enum_table.h"
#include "profile_type.h"

namespace flamingotally
{

constexpr EnumTable<WorkKind> workKindTable{{
    {WorkKind::Service, "service"},
    {WorkKind::Batch, "batch"},
    {WorkKind::Gang, "gang"},
    {WorkKind::Request, "request"},
}};
static_assert(isComplete(workKindTable));

constexpr const auto &namesOf(WorkKind)
{
    return workKindTable;
}

constexpr EnumTable<QueueAccess> queueAccessTable{{
    {QueueAccess::Keyed, "keyed"},
    {QueueAccess::Open, "open"},
}};
static_assert(isComplete(queueAccessTable));

constexpr const auto &namesOf(QueueAccess)
{
    return queueAccessTable;
}

constexpr EnumTable<Urgency> urgencyTable{{
    {Urgency::Urgent, "urgent"},
    {Urgency::Normal, "normal"},
    {Urgency::Background, "background"},
}};
static_assert(isComplete(urgencyTable));

constexpr const auto &namesOf(Urgency)
{
    return urgencyTable;
}

constexpr EnumTable<CutOffRule> cutOffRuleTable{{
    {CutOffRule::Keep, "keep"},
    {CutOffRule::Move, "move"},
}};
static_assert(isComplete(cutOffRuleTable));

constexpr const auto &namesOf(CutOffRule)
{
    return cutOffRuleTable;
}

constexpr EnumTable<Spread> spreadTable{{
    {Spread::None, "none"},
    {Spread::Racks, "racks"},
    {Spread::Domains, "domains"},
}};
static_assert(isComplete(spreadTable));

constexpr const auto &namesOf(Spread)
{
    return spreadTable;
}

} // namespace flamingotally
