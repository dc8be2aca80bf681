#include "codec/message_auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace flamingotally
{

namespace
{

using Code = std::array<unsigned char, authCodeBytes>;

Code codeOf(std::string_view secret, PeerMessage kind, std::string_view body)
{
    std::string input(1, static_cast<char>(kind));
    input += body;
    Code code{};
    HMAC(EVP_sha256(),
         secret.data(),
         static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(input.data()),
         input.size(),
         code.data(),
         nullptr);
    return code;
}

} // namespace

std::string signMessage(std::string_view secret, PeerMessage kind, std::string_view body)
{
    const auto code = codeOf(secret, kind, body);
    std::string sealed(code.begin(), code.end());
    sealed += body;
    return sealed;
}

std::optional<std::string_view> verifyMessage(std::string_view secret, PeerMessage kind, std::string_view sealed)
{
    if (sealed.size() < authCodeBytes) {
        return std::nullopt;
    }
    const auto body = sealed.substr(authCodeBytes);
    const auto code = codeOf(secret, kind, body);
    if (CRYPTO_memcmp(code.data(), sealed.data(), authCodeBytes) != 0) {
        return std::nullopt;
    }
    return body;
}

} // namespace flamingotally
