/** @file compression.h Compression of what goes into the log. */
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace flamingotally
{

/** Compresses bytes into one zstd frame that tells its length. */
std::string compressBytes(std::string_view bytes);

/**
 * Decompresses what compressBytes() made.
 * @param bytes One whole frame.
 * @param maxBytes Longest result that is made.
 * @return The bytes; an error when the frame is malformed or its result longer than allowed.
 */
absl::StatusOr<std::string> decompressBytes(std::string_view bytes, std::size_t maxBytes);

} // namespace flamingotally
