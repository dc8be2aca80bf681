#include "key_func.h"

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

KeyRef findKey(const Tables &tables, const KeyDigest &digest)
{
    KeyRef found;
    tables.keys.forEach([&](KeyRef it) {
        if (isEqualInConstantTime(tables.keys.get<KeyGrant>(it).digest, digest)) {
            found = it;
        }
    });
    return found;
}

BearerRights rightsOf(const Tables &tables, const Settings &settings, const std::optional<KeyDigest> &digest)
{
    BearerRights rights;
    if (!digest) {
        return rights;
    }
    const auto bootstrap = parseKeyDigest(settings.operatorKeyDigest);
    if (bootstrap && isEqualInConstantTime(*bootstrap, *digest)) {
        rights.reason = Reason::None;
        rights.role = KeyRole::Operator;
        return rights;
    }
    rights.key = findKey(tables, *digest);
    if (!rights.key.isSet()) {
        rights.reason = Reason::KeyUnknown;
        return rights;
    }
    const auto &grant = tables.keys.get<KeyGrant>(rights.key);
    rights.reason = grant.withdrawn ? Reason::KeyWithdrawn : Reason::None;
    rights.role = grant.role;
    rights.team = grant.team;
    return rights;
}

} // namespace flamingotally
