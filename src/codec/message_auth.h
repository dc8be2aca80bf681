/** @file message_auth.h Authentication of messages between daemons: HMAC-SHA256 under the cluster's secret. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingotally
{

/** Kind of a message. It is authenticated along, so that one kind cannot pass for another. */
enum class PeerMessage : std::uint8_t {
    Heartbeat,
    RecordRequest,
    RecordPage,
    End,
};

/** Bytes that authentication adds to a message. */
constexpr std::size_t authCodeBytes = 32;

/**
 * Authenticates a message.
 * @param secret The cluster's secret.
 * @param kind Kind of the message.
 * @param body The encoded message.
 * @return The message with its code in front.
 */
std::string signMessage(std::string_view secret, PeerMessage kind, std::string_view body);

/**
 * Checks a message in constant time.
 * @return The encoded message; nothing when it is too short, forged or of another kind.
 */
std::optional<std::string_view> verifyMessage(std::string_view secret, PeerMessage kind, std::string_view sealed);

} // namespace flamingotally
