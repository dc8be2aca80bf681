/** @file journal_codec.h Encodes and decodes journal records, requests to the policy service and its responses. */
#pragma once

#include "dispatch/message_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace flamingotally
{

/**
 * The keys of the records of daemons and of the newest claim lie between these two, with no more than a few others: the
 * first letters of keys from "d" (daemons) to "o" (claim). Keys of jobs begin with "a", "c" and "p".
 */
constexpr std::string_view daemonKeysAfter("d");
constexpr std::string_view daemonKeysBefore("p");

/** A key and its encoded value. A row with an empty value removes the key. */
struct KeyedBytes {
    std::string key;
    std::string value;
};

/** Encodes a record. A RemovedRecord yields a row for each key that it removes. */
std::vector<KeyedBytes> encodeJournalRecord(const dispatch::JournalRecord &record);

/**
 * Decodes a record. The empty value of a row that removes a key is not a record: decoding it gives an error.
 * @return The record; an error when the value is empty or malformed, or this version cannot decode the kind of record
 * that the key's first letter names.
 */
absl::StatusOr<dispatch::JournalRecord> decodeJournalRecord(std::string_view key, std::string_view value);

/** Encodes a request to the policy service, to send it to the peer that relays it. */
std::string encodeAdviceRequest(const dispatch::AdviceRequest &request);

/** Decodes a request to the policy service; returns an error when the bytes are malformed. */
absl::StatusOr<dispatch::AdviceRequest> decodeAdviceRequest(std::string_view bytes);

/** Encodes a response of the policy service, to send it to the peer from which the request came. */
std::string encodeAdviceResponse(const dispatch::AdviceResponse &response);

/** Decodes a response of the policy service; returns an error when the bytes are malformed. */
absl::StatusOr<dispatch::AdviceResponse> decodeAdviceResponse(std::string_view bytes);

} // namespace flamingotally
