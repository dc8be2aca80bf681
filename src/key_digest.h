/** @file key_digest.h Digests of keys. Keys themselves are never stored or logged. */
#pragma once

#include "team_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace flamingotally
{

/** Computes the SHA-256 of a key. */
KeyDigest digestOfKey(std::string_view key);

/**
 * Parses a digest.
 * @param text 64 hexadecimal digits.
 * @return The digest, or `std::nullopt` when the text is malformed.
 */
std::optional<KeyDigest> parseKeyDigest(std::string_view text);

/** Formats a digest as 64 hexadecimal digits. */
std::string toString(const KeyDigest &digest);

/** Compares two digests in constant time, so that the duration does not reveal where they differ. */
bool isEqualInConstantTime(const KeyDigest &left, const KeyDigest &right);

} // namespace flamingotally
