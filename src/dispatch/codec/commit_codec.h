/** @file commit_codec.h Encodes and decodes the calls by which daemons send their batches to the owner. */
#pragma once

#include "dispatch/commit_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace flamingotally
{

/** Encodes the token and the records of a request; the records as keys and values of the journal. */
std::string encodeCommitRequest(const dispatch::CommitRequest &request);

/** Decodes a request; returns an error when the bytes or a record are malformed. The handle is not set. */
absl::StatusOr<dispatch::CommitCall> decodeCommitCall(std::string_view bytes);

/** Encodes the owner's answer, without its handle. */
std::string encodeCommitAnswer(const dispatch::CommitAnswer &answer);

/** Decodes the owner's answer; returns an error when the bytes are malformed. The number is not set. */
absl::StatusOr<dispatch::CommitResponse> decodeCommitResponse(std::string_view bytes);

} // namespace flamingotally
