#include "core/field_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace flamingotally
{

namespace
{

constexpr std::size_t digestDigits = 64;
constexpr int octetsInIpAddress = 4;

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

bool isNameCharacter(char c)
{
    return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '.' || c == '_' || c == '-';
}

bool isHexadecimal(char c)
{
    return isDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

/**
 * Removes a decimal number of at most `max` from the start of `text`.
 * @return False when the text does not start with such a number; the text is then unchanged.
 */
bool consumeNumber(std::string_view &text, unsigned max)
{
    unsigned number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc{} || number > max) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return true;
}

/** Removes a character from the start of a text. Returns false when the text does not start with it. */
bool consumeCharacter(std::string_view &text, char c)
{
    if (text.empty() || text.front() != c) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

bool isAddress(std::string_view text)
{
    constexpr unsigned maxByte = 255;
    constexpr unsigned maxPort = 65'535;
    for (int n = 0; n < octetsInIpAddress; ++n) {
        if (n > 0 && !consumeCharacter(text, '.')) {
            return false;
        }
        if (!consumeNumber(text, maxByte)) {
            return false;
        }
    }
    return consumeCharacter(text, ':') && consumeNumber(text, maxPort) && text.empty();
}

} // namespace

bool isWellFormed(FieldKind kind, std::string_view text)
{
    switch (kind) {
    case FieldKind::Name:
        return std::ranges::all_of(text, isNameCharacter);
    case FieldKind::Address:
        return isAddress(text);
    case FieldKind::Digest:
        return text.empty() || (text.size() == digestDigits && std::ranges::all_of(text, isHexadecimal));
    default:
        return true;
    }
}

std::string describeBounds(FieldKind kind, std::int64_t min, std::int64_t max)
{
    const auto &row = rowOf(fieldKindTable, kind);
    switch (kind) {
    case FieldKind::Flag:
    case FieldKind::Address:
    case FieldKind::Digest:
        return std::string(row.expected);
    case FieldKind::Name:
    case FieldKind::Text:
    case FieldKind::Secret:
        return fmt::format("{}, {} to {} {} long", row.expected, min, max, row.unit);
    default:
        return fmt::format("{} from {} to {}", row.expected, min, max);
    }
}

} // namespace flamingotally
