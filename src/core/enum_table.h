/** @file enum_table.h Constant tables with one row for each value of an enumeration. */
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace flamingotally
{

/** Number of values of an enumeration whose last enumerator is `End`. */
template<typename E>
constexpr std::size_t enumSize = static_cast<std::size_t>(E::End);

/** Row of a table that contains only the names of the enumerators. */
template<typename E>
struct NameRow {
    E value; ///< The enumerator that this row describes.
    std::string_view name; ///< Name of the enumerator in settings, JSON, logs and metrics.
};

/** Table with one row for each value of `E`, in the order of the enumeration. */
template<typename E, typename Row = NameRow<E>>
using EnumTable = std::array<Row, enumSize<E>>;

/**
 * Checks that every row is at the index of its value and has a name. A `static_assert` after each table calls this.
 * @param table The table to check.
 * @return True when no row is missing, out of order or without a name.
 */
template<typename Row, std::size_t N>
constexpr bool isComplete(const std::array<Row, N> &table)
{
    for (std::size_t n = 0; n < N; ++n) {
        if (static_cast<std::size_t>(table[n].value) != n || table[n].name.empty()) {
            return false;
        }
    }
    return true;
}

/** Returns the row of an enumerator. */
template<typename E, typename Row, std::size_t N>
constexpr const Row &rowOf(const std::array<Row, N> &table, E value)
{
    return table[static_cast<std::size_t>(value)];
}

/** Returns the name of an enumerator. */
template<typename E, typename Row, std::size_t N>
constexpr std::string_view nameOf(const std::array<Row, N> &table, E value)
{
    return rowOf(table, value).name;
}

/**
 * Finds the enumerator with the given name.
 * @param table The table to search.
 * @param name The name, exactly as in the table.
 * @return The enumerator, or `std::nullopt` when no row has this name.
 */
template<typename Row, std::size_t N>
constexpr auto valueFromName(const std::array<Row, N> &table, std::string_view name)
    -> std::optional<decltype(Row::value)>
{
    for (const auto &row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace flamingotally
