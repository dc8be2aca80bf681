/** @file opening_type.h Budgets of memory for the rows that an owner keeps of open occurrences. */
#pragma once

#include "core/enum_table.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace flamingotally::dispatch
{

/** Budget that an open occurrence counts against. */
enum class OpeningBudget : std::uint8_t {
    First, ///< For the only open occurrence of a job, unless it is large.
    Large, ///< The same for occurrences with many tasks, so that they leave room for the others.
    Further, ///< For occurrences of jobs that have another one open, so that one job cannot crowd out all others.
    End,
};

/** Name and size of a budget. */
struct OpeningBudgetRow {
    OpeningBudget value;
    std::string_view name;
    std::size_t memoryPart; ///< Divisor: the budget's part of the daemon's memory.
    std::size_t teamPart; ///< Divisor: part of the budget that one team may use.
    std::size_t jobPart; ///< Divisor: part of the budget that one job may use.
};

constexpr EnumTable<OpeningBudget, OpeningBudgetRow> openingBudgetTable{{
    {OpeningBudget::First, "first", 4, 2, 1},
    {OpeningBudget::Large, "large", 8, 2, 1},
    {OpeningBudget::Further, "further", 128, 2, 4},
}};
static_assert(isComplete(openingBudgetTable));

/** Bytes of rows, by budget. */
using OpenBytes = std::array<std::size_t, enumSize<OpeningBudget>>;

/** Bytes of the rows of all open occurrences. */
struct OpenRows {
    OpenBytes total{};
    absl::flat_hash_map<std::string, OpenBytes> byTeam;
};

} // namespace flamingotally::dispatch
