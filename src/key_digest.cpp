#include "key_digest.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <charconv>

namespace flamingotally
{

namespace
{

constexpr int hexadecimal = 16;

} // namespace

KeyDigest digestOfKey(std::string_view key)
{
    KeyDigest digest;
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return digest;
}

std::optional<KeyDigest> parseKeyDigest(std::string_view text)
{
    KeyDigest digest;
    if (text.size() != 2 * digest.size()) {
        return std::nullopt;
    }
    for (std::size_t n = 0; n < digest.size(); ++n) {
        const char *begin = text.data() + 2 * n;
        const auto [end, ec] = std::from_chars(begin, begin + 2, digest[n], hexadecimal);
        if (ec != std::errc{} || end != begin + 2) {
            return std::nullopt;
        }
    }
    return digest;
}

std::string toString(const KeyDigest &digest)
{
    return fmt::format("{:02x}", fmt::join(digest, ""));
}

bool isEqualInConstantTime(const KeyDigest &left, const KeyDigest &right)
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace flamingotally
