/** @file log_codec.h What the platform's log answers to a read. */
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

/** A record as the log keeps it. */
struct RawRecord {
    std::uint64_t offset = 0;
    LogTime appendedAt{}; ///< Stamped by the log.
    std::string bytes;

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(offset, appendedAt, bytes);
    }
};

/** Part of the log. */
struct LogPage {
    std::uint64_t head = 0; ///< Offset that the next record will get.
    std::uint64_t firstRetained = 0; ///< Oldest offset that is still kept.
    std::vector<RawRecord> records; ///< In order, without gaps.

    template<typename Visitor>
    void fields(Visitor &&visitor)
    {
        visitor(head, firstRetained, records);
    }
};

/** Largest answer to a read that is decoded. */
constexpr std::size_t maxLogPageBytes = 4 * 1024 * 1024;

std::string encodeLogPage(const LogPage &page);

absl::StatusOr<LogPage> decodeLogPage(std::string_view bytes);

/** Encodes a daemon's request to a peer for records from an offset on. */
std::string encodeRecordRequest(std::uint64_t from);

/** Offset of a request; nothing when it is malformed or of another version. */
std::optional<std::uint64_t> decodeRecordRequest(std::string_view bytes);

} // namespace flamingotally
