/** @file resources_field_table.h Fields of Resources: names, kinds, bounds and descriptions. */
#pragma once

#include "core/field_table.h"
#include "resources_type.h"

namespace flamingotally
{

using ResourcesFieldRow = FieldRow<Resources>;

constexpr std::int64_t maxResourceAmount = 1'000'000'000'000;

inline constexpr std::array resourcesFieldTable = {
    ResourcesFieldRow{"cpuMilli",
                      FieldKind::MilliCores,
                      &Resources::cpuMilli,
                      0,
                      maxResourceAmount,
                      "Processor time in thousandths of a core."},
    ResourcesFieldRow{
        "memoryMb", FieldKind::Megabytes, &Resources::memoryMb, 0, maxResourceAmount, "Memory in units of 2^20 bytes."},
    ResourcesFieldRow{
        "accelerators", FieldKind::Count, &Resources::accelerators, 0, maxResourceAmount, "Number of accelerators."},
};

} // namespace flamingotally
