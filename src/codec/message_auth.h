/** @file message_auth.h Authentication of messages between daemons by HMAC-SHA256 with the secret of the cluster. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingotally
{

/**
 * Kind of a message. The authentication code covers the kind, so that a message is not accepted as one of another
 * kind.
 */
enum class PeerMessage : std::uint8_t {
    Heartbeat,
    RecordRequest,
    RecordPage,
    End,
};

/** Size in bytes of the authentication code that precedes a message. */
constexpr std::size_t authCodeBytes = 32;

/**
 * Adds an authentication code to a message.
 * @param secret The secret of the cluster.
 * @param kind Kind of the message.
 * @param body The encoded message.
 * @return The authentication code, followed by the encoded message.
 */
std::string signMessage(std::string_view secret, PeerMessage kind, std::string_view body);

/**
 * Verifies the authentication code of a message in constant time.
 * @param secret The secret of the cluster.
 * @param kind Expected kind of the message.
 * @param message Output of signMessage().
 * @return The encoded message without the code, as a view into `message`; `std::nullopt` when the message is too short,
 * forged or of another kind.
 */
std::optional<std::string_view> verifyMessage(std::string_view secret, PeerMessage kind, std::string_view message);

} // namespace flamingotally
