#include "codec/message_auth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace flamingotally
{

namespace
{

using AuthCode = std::array<unsigned char, authCodeBytes>;

AuthCode computeAuthCode(std::string_view secret, PeerMessage kind, std::string_view body)
{
    std::string input(1, static_cast<char>(kind));
    input += body;
    AuthCode code{};
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
    const auto code = computeAuthCode(secret, kind, body);
    std::string message(code.begin(), code.end());
    message += body;
    return message;
}

std::optional<std::string_view> verifyMessage(std::string_view secret, PeerMessage kind, std::string_view message)
{
    if (message.size() < authCodeBytes) {
        return std::nullopt;
    }
    const auto body = message.substr(authCodeBytes);
    const auto code = computeAuthCode(secret, kind, body);
    if (CRYPTO_memcmp(code.data(), message.data(), authCodeBytes) != 0) {
        return std::nullopt;
    }
    return body;
}

} // namespace flamingotally
