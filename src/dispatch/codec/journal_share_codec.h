/** @file journal_share_codec.h Encodes the messages by which daemons read the journal from their region's reader. */
#pragma once

#include "dispatch/entry_base.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace flamingotally
{

/** Maximum size of a message in bytes; a larger snapshot is refused. */
constexpr std::size_t maxShareBytes = std::size_t{8} * 1024 * 1024;

/** Encodes a request to the region's reader. */
std::string encodePeerReadRequest(const dispatch::PeerReadRequest &request);

/** Decodes a request; returns an error when the bytes are malformed. */
absl::StatusOr<dispatch::PeerReadRequest> decodePeerReadRequest(std::string_view bytes);

/**
 * Encodes a snapshot of a daemon's tables as frames, each compressed on its own, so that the whole text of the snapshot
 * is never in memory. It goes on until the frames exceed the size of a message.
 */
std::vector<std::string> encodeSnapshot(const dispatch::Entry &entry);

/** Encodes a response. A snapshot that exceeds the size of a message becomes ShareResult::TooLarge. */
std::string encodePeerReadResponse(dispatch::PeerReadResponse response);

/**
 * Decodes a response of the region's reader into a read of the journal. Bytes that cannot be decoded give a failed read
 * with ShareResult::NoResponse, and so do results that carry no records, with their result.
 * @param sentAt,receivedAt When the request was sent, and when the response arrived.
 */
dispatch::JournalRead decodePeerReadResponse(std::string_view bytes, MonotonicTime sentAt, MonotonicTime receivedAt);

/** Returns what a read without a response gives. */
dispatch::JournalRead unansweredRead(MonotonicTime sentAt);

} // namespace flamingotally
