/**
 * @file field_table.h Tables of the named fields of a type: settings, profiles, requests. Each field has one row with
 * its kind, bounds, description and member, so that every codec reads, validates and writes it in the same way.
 */
#pragma once

#include "core/enum_table.h"
#include "core/time_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace flamingotally
{

/** Kind of a field: the type and the meaning of its values. */
enum class FieldKind : std::uint8_t {
    Flag, ///< Boolean.
    Choice, ///< One of the names in an enumeration's table.
    Name, ///< Text that consists of letters, digits, '.', '_' and '-'.
    Text, ///< Any text.
    Secret, ///< Text that is never printed or logged.
    Address, ///< IPv4 address and port, as "IP:port".
    Digest, ///< SHA-256 as 64 hexadecimal digits, or empty.
    Count,
    Duration, ///< Milliseconds.
    Bytes,
    MilliCores, ///< Thousandths of a processor core.
    Megabytes, ///< Units of 2^20 bytes.
    End,
};

/** Properties of a kind of field. */
struct FieldKindRow {
    FieldKind value; ///< The kind.
    std::string_view name; ///< Name of the kind in messages.
    std::string_view unit; ///< Unit of the values, or of the length of a text; empty for fields without a unit.
    std::string_view expected; ///< Description of the allowed values, for error messages.
};

constexpr EnumTable<FieldKind, FieldKindRow> fieldKindTable{{
    {FieldKind::Flag, "flag", "", "true or false"},
    {FieldKind::Choice, "choice", "", "one of"},
    {FieldKind::Name, "name", "characters", "a name of letters, digits, '.', '_' or '-'"},
    {FieldKind::Text, "text", "characters", "a text"},
    {FieldKind::Secret, "secret", "characters", "a text"},
    {FieldKind::Address, "address", "", "an address as IP:port, such as 127.0.0.1:8080"},
    {FieldKind::Digest, "digest", "", "64 hexadecimal digits"},
    {FieldKind::Count, "count", "", "a whole number"},
    {FieldKind::Duration, "duration", "ms", "a whole number of milliseconds"},
    {FieldKind::Bytes, "size", "bytes", "a whole number of bytes"},
    {FieldKind::MilliCores, "processor", "mCPU", "a whole number of thousandths of a core"},
    {FieldKind::Megabytes, "memory", "MB", "a whole number of MB"},
}};
static_assert(isComplete(fieldKindTable));

/** Value read from or assigned to a field. Codecs handle fields only through this type. */
using FieldValue = std::variant<std::monostate, bool, std::int64_t, std::string>;

/**
 * One field of a type.
 * @tparam T The type that has the field.
 * @tparam Enums Enumerations that members of the type use. Each needs an overload of namesOf() that returns its table
 * of names.
 */
template<typename T, typename... Enums>
struct FieldRow {
    using Member = std::variant<bool T::*,
                                std::string T::*,
                                std::uint32_t T::*,
                                std::uint64_t T::*,
                                std::int64_t T::*,
                                Milliseconds T::*,
                                Enums T::*...>;

    std::string_view name; ///< Name in TOML and JSON.
    FieldKind kind; ///< Type and meaning of the values.
    Member member; ///< Pointer to the member that holds the value.
    std::int64_t min; ///< Lowest allowed value; for a text, its shortest allowed length in bytes.
    std::int64_t max; ///< Highest allowed value; for a text, its longest allowed length in bytes.
    std::string_view text; ///< One-sentence description, for people.
};

/** Returns whether a text is well-formed for a kind of field. Does not check the length that a field allows. */
bool isWellFormed(FieldKind kind, std::string_view text);

/** Describes the values of a kind within the given bounds, for error messages. */
std::string describeBounds(FieldKind kind, std::int64_t min, std::int64_t max);

namespace detail
{

template<typename Value>
bool assignText(Value &target, FieldKind kind, std::int64_t min, std::int64_t max, const std::string &text)
{
    const auto length = static_cast<std::int64_t>(text.size());
    if (length < min || length > max || !isWellFormed(kind, text)) {
        return false;
    }
    target = text;
    return true;
}

template<typename Value>
bool assignNumber(Value &target, std::int64_t min, std::int64_t max, std::int64_t number)
{
    if (number < min || number > max) {
        return false;
    }
    target = Value(number);
    return true;
}

} // namespace detail

/**
 * Assigns a value to a field if the value is allowed.
 * @param target Object that has the field.
 * @param row Row of the field.
 * @param value Value to assign.
 * @return True when assigned. False when the value has another type, is malformed or out of bounds; the object is then
 * unchanged.
 */
template<typename T, typename... Enums>
bool assignField(T &target, const FieldRow<T, Enums...> &row, const FieldValue &value)
{
    return std::visit(
        [&](auto member) {
            auto &field = target.*member;
            using Field = std::remove_reference_t<decltype(field)>;
            if constexpr (std::is_same_v<Field, bool>) {
                const auto *flag = std::get_if<bool>(&value);
                field = flag ? *flag : field;
                return flag != nullptr;
            } else if constexpr (std::is_same_v<Field, std::string>) {
                const auto *text = std::get_if<std::string>(&value);
                return text && detail::assignText(field, row.kind, row.min, row.max, *text);
            } else if constexpr (std::is_enum_v<Field>) {
                const auto *name = std::get_if<std::string>(&value);
                const auto found = name ? valueFromName(namesOf(field), *name) : std::nullopt;
                field = found.value_or(field);
                return found.has_value();
            } else {
                const auto *number = std::get_if<std::int64_t>(&value);
                return number && detail::assignNumber(field, row.min, row.max, *number);
            }
        },
        row.member);
}

/** Returns the value of a field; for an enumeration, the name of the enumerator. */
template<typename T, typename... Enums>
FieldValue fieldValueOf(const T &source, const FieldRow<T, Enums...> &row)
{
    return std::visit(
        [&](auto member) -> FieldValue {
            const auto &field = source.*member;
            using Field = std::remove_cvref_t<decltype(field)>;
            if constexpr (std::is_same_v<Field, bool> || std::is_same_v<Field, std::string>) {
                return field;
            } else if constexpr (std::is_enum_v<Field>) {
                return std::string(nameOf(namesOf(field), field));
            } else if constexpr (std::is_same_v<Field, Milliseconds>) {
                return static_cast<std::int64_t>(field.count());
            } else {
                return static_cast<std::int64_t>(field);
            }
        },
        row.member);
}

/** Describes the values that a field accepts: the names of a choice, otherwise the kind and the bounds of the field. */
template<typename T, typename... Enums>
std::string expectedOf(const FieldRow<T, Enums...> &row)
{
    return std::visit(
        [&](auto member) {
            using Field = std::remove_cvref_t<decltype(std::declval<T &>().*member)>;
            if constexpr (std::is_enum_v<Field>) {
                std::string text(rowOf(fieldKindTable, row.kind).expected);
                for (const auto &it : namesOf(Field{})) {
                    text += it.value == Field{} ? " " : ", ";
                    text += it.name;
                }
                return text;
            } else {
                return describeBounds(row.kind, row.min, row.max);
            }
        },
        row.member);
}

/** Finds the row of a field by its name. Returns a null pointer when no field has the name. */
template<typename Rows>
const typename Rows::value_type *findField(const Rows &rows, std::string_view name)
{
    for (const auto &row : rows) {
        if (row.name == name) {
            return &row;
        }
    }
    return nullptr;
}

} // namespace flamingotally
