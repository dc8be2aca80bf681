#include "request_type.h"

#include <fmt/format.h>

namespace flamingotally
{

namespace
{

constexpr std::size_t uuidTextLength = 36;
constexpr std::uint8_t versionSeven = 0x70;
constexpr std::uint8_t variantRfc = 0x80;

constexpr bool isHyphenPosition(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

constexpr int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}

} // namespace

WallTime RequestId::issuedAt() const
{
    std::int64_t milliseconds = 0;
    for (std::size_t n = 0; n < 6; ++n) {
        milliseconds = (milliseconds << 8) | bytes[n];
    }
    return WallTime{Milliseconds{milliseconds}};
}

std::optional<RequestId> parseRequestId(std::string_view text)
{
    if (text.size() != uuidTextLength) {
        return std::nullopt;
    }
    RequestId id;
    std::size_t digit = 0;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (isHyphenPosition(n)) {
            if (text[n] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const int value = hexValue(text[n]);
        if (value < 0) {
            return std::nullopt;
        }
        auto &byte = id.bytes[digit / 2];
        byte = static_cast<std::uint8_t>((byte << 4) | value);
        ++digit;
    }
    const bool isVersionSeven = (id.bytes[6] & 0xf0) == versionSeven;
    const bool isVariantRfc = (id.bytes[8] & 0xc0) == variantRfc;
    if (!isVersionSeven || !isVariantRfc) {
        return std::nullopt;
    }
    return id;
}

std::string toString(const RequestId &id)
{
    std::string text;
    text.reserve(uuidTextLength);
    for (const auto byte : id.bytes) {
        if (isHyphenPosition(text.size())) {
            text += '-';
        }
        text += fmt::format("{:02x}", byte);
    }
    return text;
}

RequestId makeRequestId(WallTime issuedAt, std::uint64_t high, std::uint64_t low)
{
    RequestId id;
    const auto milliseconds = static_cast<std::uint64_t>(issuedAt.time_since_epoch().count());
    for (std::size_t n = 0; n < 6; ++n) {
        id.bytes[n] = static_cast<std::uint8_t>(milliseconds >> (40 - 8 * n));
    }
    id.bytes[6] = static_cast<std::uint8_t>(versionSeven | ((high >> 8) & 0x0f));
    id.bytes[7] = static_cast<std::uint8_t>(high);
    for (std::size_t n = 0; n < 8; ++n) {
        id.bytes[8 + n] = static_cast<std::uint8_t>(low >> (56 - 8 * n));
    }
    id.bytes[8] = static_cast<std::uint8_t>(variantRfc | (id.bytes[8] & 0x3f));
    return id;
}

} // namespace flamingotally
