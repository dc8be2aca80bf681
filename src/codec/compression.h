/** @file compression.h Compression of log records and snapshots with zstd. */
#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace flamingotally
{

/**
 * Compresses bytes into one zstd frame, whose header states the decompressed size.
 * @return The frame; empty when zstd fails.
 */
std::string compressBytes(std::string_view bytes);

/**
 * Decompresses the output of compressBytes().
 * @param bytes One complete frame.
 * @param maxBytes Largest allowed size of the result in bytes.
 * @return The decompressed bytes; an error when the frame is malformed or its content exceeds `maxBytes`.
 */
absl::StatusOr<std::string> decompressBytes(std::string_view bytes, std::size_t maxBytes);

} // namespace flamingotally
