/** @file key_digest.h Digests of keys. Keys themselves are never stored or logged. */
#pragma once

#include "team_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace flamingotally
{

/** SHA-256 of a key. */
KeyDigest digestOfKey(std::string_view key);

/**
 * Parses a digest.
 * @param text 64 hexadecimal digits.
 * @return The digest, or nothing when the text is something else.
 */
std::optional<KeyDigest> parseKeyDigest(std::string_view text);

/** Writes a digest in hexadecimal. */
std::string toString(const KeyDigest &digest);

/** Compares two digests in a time that does not depend on where they differ. */
bool isEqualInConstantTime(const KeyDigest &left, const KeyDigest &right);

} // namespace flamingotally
