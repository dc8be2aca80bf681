/** @file cereal_codec.h Encodes and decodes batches of the log, snapshots and heartbeats with cereal. */
#pragma once

#include "command_type.h"
#include "message_type.h"
#include "tables.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace flamingotally
{

/** Largest batch that decodeBatch() accepts, in bytes; applies to its encoded and to its decompressed size. */
constexpr std::size_t maxBatchBytes = 1024 * 1024;

/** Largest tables that decodeTables() accepts, in bytes after decompression. */
constexpr std::size_t maxTablesBytes = 512 * 1024 * 1024;

/** Encodes a batch. The record version comes first and uncompressed, so that every build can read it. */
std::string encodeBatch(const Batch &batch);

/**
 * Decodes a batch.
 * @param bytes Output of encodeBatch(), from this or another host.
 * @return The batch; an error when the bytes are malformed or too large, or when this build does not support the
 * version.
 */
absl::StatusOr<Batch> decodeBatch(std::string_view bytes);

/** Encodes the replicated tables, without their lookups, for a snapshot. */
std::string encodeTables(const Tables &tables);

/**
 * Decodes the replicated tables and rebuilds their lookups.
 * @param bytes Output of encodeTables(), from this or another host.
 * @return The tables; an error when the bytes are malformed or too large, or when this build does not support the
 * version.
 */
absl::StatusOr<Tables> decodeTables(std::string_view bytes);

/** The `SnapshotCodec` that the daemons use. */
struct CerealSnapshotCodec {
    static std::string encode(const Tables &tables)
    {
        return encodeTables(tables);
    }

    static std::optional<Tables> decode(std::string_view bytes)
    {
        auto tables = decodeTables(bytes);
        return tables.ok() ? std::optional<Tables>(*std::move(tables)) : std::nullopt;
    }
};

/** Encodes a heartbeat. signMessage() adds the authentication code. */
std::string encodeHeartbeat(const Heartbeat &heartbeat);

/**
 * Decodes a heartbeat.
 * @param bytes Output of encodeHeartbeat(), after verifyMessage() has removed the authentication code.
 * @return The heartbeat; an error when the bytes are malformed or too large, or when this build does not support the
 * version.
 */
absl::StatusOr<Heartbeat> decodeHeartbeat(std::string_view bytes);

} // namespace flamingotally
