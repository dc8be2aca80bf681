/** @file journal_codec.h Records of the journal as keys and bytes. */
#pragma once

#include "dispatch/message_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace flamingotally
{

/** A key and its value; without a value the key is dropped. */
struct KeyedBytes {
    std::string key;
    std::string value;
};

/** Writes a record. One that drops several keys gives several rows. */
std::vector<KeyedBytes> encodeJournalRecord(const dispatch::JournalRecord &record);

/**
 * Reads a record.
 * @return An error when the key or the value is malformed, or of a kind that this build does not know.
 */
absl::StatusOr<dispatch::JournalRecord> decodeJournalRecord(std::string_view key, std::string_view value);

/** Writes a question to the policy service for the daemon that is to ask it. */
std::string encodeQuestion(const dispatch::AdviceRequest &question);

/** Reads a question. */
absl::StatusOr<dispatch::AdviceRequest> decodeQuestion(std::string_view bytes);

/** Writes an answer of the policy service for the daemon that had it asked. */
std::string encodeAnswer(const dispatch::AdviceResponse &answer);

/** Reads an answer. */
absl::StatusOr<dispatch::AdviceResponse> decodeAnswer(std::string_view bytes);

} // namespace flamingotally
