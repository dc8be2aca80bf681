/**
 * @file field_table.h Tables of the named fields of a type: settings, profiles, requests. Each field has one row with
 * its kind, bounds, text and member, so that every codec reads, checks and writes it alike.
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

/** Kind of a field: its type, and what its values mean. */
enum class FieldKind : std::uint8_t {
    Flag, ///< True or false.
    Choice, ///< A name out of an enumeration's table.
    Name, ///< Letters, digits, '.', '_' and '-'.
    Text, ///< Any text.
    Secret, ///< Text that is never printed.
    Address, ///< IP number and port.
    Digest, ///< SHA-256 in hexadecimal.
    Count,
    Duration, ///< Milliseconds.
    Bytes,
    MilliCores, ///< Thousandths of a processor core.
    Megabytes, ///< Units of 2^20 bytes.
    End,
};

/** What is said of a kind of field. */
struct FieldKindRow {
    FieldKind value; ///< The kind.
    std::string_view name; ///< Its name in messages.
    std::string_view unit; ///< Unit of its values; empty when it has none.
    std::string_view expected; ///< What a value has to be.
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

/** A value on its way into or out of a field. Codecs know no more than this. */
using FieldValue = std::variant<std::monostate, bool, std::int64_t, std::string>;

/**
 * One field of a type.
 * @tparam T The type.
 * @tparam Enums Enumerations of which the type has members; beside each one's table of names stands a namesOf().
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

    std::string_view name; ///< Its name in TOML and JSON.
    FieldKind kind; ///< What its values mean.
    Member member; ///< Where it is kept.
    std::int64_t min; ///< Least value, or least length of a text.
    std::int64_t max; ///< Greatest value, or greatest length of a text.
    std::string_view text; ///< One sentence for people.
};

/** Tells whether a text is a well-formed value of a kind of field. */
bool isWellFormed(FieldKind kind, std::string_view text);

/** Says what a field of a kind expects, with its bounds. */
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
 * Sets a field, when the value is allowed.
 * @param target The object.
 * @param row The field.
 * @param value The value.
 * @return False when the value is of another type, malformed or out of bounds; the object is unchanged then.
 */
template<typename T, typename... Enums>
bool assignField(T &target, const FieldRow<T, Enums...> &row, const FieldValue &value)
{
    return std::visit(
        [&](auto member) {
            auto &place = target.*member;
            using Place = std::remove_reference_t<decltype(place)>;
            if constexpr (std::is_same_v<Place, bool>) {
                const auto *flag = std::get_if<bool>(&value);
                place = flag ? *flag : place;
                return flag != nullptr;
            } else if constexpr (std::is_same_v<Place, std::string>) {
                const auto *text = std::get_if<std::string>(&value);
                return text && detail::assignText(place, row.kind, row.min, row.max, *text);
            } else if constexpr (std::is_enum_v<Place>) {
                const auto *name = std::get_if<std::string>(&value);
                const auto found = name ? valueFromName(namesOf(place), *name) : std::nullopt;
                place = found.value_or(place);
                return found.has_value();
            } else {
                const auto *number = std::get_if<std::int64_t>(&value);
                return number && detail::assignNumber(place, row.min, row.max, *number);
            }
        },
        row.member);
}

/** Value of a field. */
template<typename T, typename... Enums>
FieldValue fieldValueOf(const T &source, const FieldRow<T, Enums...> &row)
{
    return std::visit(
        [&](auto member) -> FieldValue {
            const auto &place = source.*member;
            using Place = std::remove_cvref_t<decltype(place)>;
            if constexpr (std::is_same_v<Place, bool> || std::is_same_v<Place, std::string>) {
                return place;
            } else if constexpr (std::is_enum_v<Place>) {
                return std::string(nameOf(namesOf(place), place));
            } else if constexpr (std::is_same_v<Place, Milliseconds>) {
                return static_cast<std::int64_t>(place.count());
            } else {
                return static_cast<std::int64_t>(place);
            }
        },
        row.member);
}

/** Says what a field expects: for choices the names, else the kind and its bounds. */
template<typename T, typename... Enums>
std::string expectedOf(const FieldRow<T, Enums...> &row)
{
    return std::visit(
        [&](auto member) {
            using Place = std::remove_cvref_t<decltype(std::declval<T &>().*member)>;
            if constexpr (std::is_enum_v<Place>) {
                std::string text(rowOf(fieldKindTable, row.kind).expected);
                for (const auto &it : namesOf(Place{})) {
                    text += it.value == Place{} ? " " : ", ";
                    text += it.name;
                }
                return text;
            } else {
                return describeBounds(row.kind, row.min, row.max);
            }
        },
        row.member);
}

/** Finds a field by its name; null when there is none. */
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
