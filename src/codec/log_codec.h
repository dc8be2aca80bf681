/** @file log_codec.h Encodes pages of the platform's log, and the requests of daemons to each other for log records. */
#pragma once

#include "core/time_type.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingotally
{

/** A record as stored in the log, with its batch still encoded. */
struct RawRecord {
    std::uint64_t offset = 0;
    LogTime appendedAt{}; ///< Set by the log when it appends the record.
    std::string bytes; ///< The encoded batch.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(offset, appendedAt, bytes);
    }
};

/** Contiguous records of the log, as returned by a read. */
struct LogPage {
    std::uint64_t head = 0; ///< Offset that the next appended record will get.
    std::uint64_t firstRetained = 0; ///< Offset of the oldest record that is still retained.
    std::vector<RawRecord> records; ///< In ascending order of offset, without gaps.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(head, firstRetained, records);
    }
};

/** Size limit of an encoded page in bytes, applied by decodeLogPage(). */
constexpr std::size_t maxLogPageBytes = 4 * 1024 * 1024;

/** Encodes a page of the log. */
std::string encodeLogPage(const LogPage &page);

/**
 * Decodes a page of the log.
 * @return The page; an error when the bytes are malformed or more than `maxLogPageBytes`, or when this build does not
 * support the version of the page.
 */
absl::StatusOr<LogPage> decodeLogPage(std::string_view bytes);

/**
 * Encodes the request of a daemon to a peer for records of the log.
 * @param from Offset of the first requested record.
 */
std::string encodeRecordRequest(std::uint64_t from);

/**
 * Decodes a request for records.
 * @return The offset of the first requested record; `std::nullopt` when the request is malformed or this build does not
 * support its version.
 */
std::optional<std::uint64_t> decodeRecordRequest(std::string_view bytes);

} // namespace flamingotally
