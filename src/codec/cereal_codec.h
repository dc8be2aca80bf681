/**
 * @file cereal_codec.h Encodes and decodes the batches in the log, snapshots of the tables, and heartbeats with
 * cereal.
 */
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

/**
 * Size limit of a batch in bytes. decodeBatch() applies it both to the encoded batch and to its decompressed content.
 */
constexpr std::size_t maxBatchBytes = 1024 * 1024;

/** Size limit of all tables of a snapshot together, in bytes; decodeTables() applies it to the decompressed content. */
constexpr std::size_t maxTablesBytes = 512 * 1024 * 1024;

/**
 * Encodes a batch. The output starts with the record version, uncompressed, so that every build can read the version
 * even if it cannot read the batch. Then follows the compressed batch.
 */
std::string encodeBatch(const Batch &batch);

/**
 * Decodes a batch.
 * @param bytes Output of encodeBatch(), from this or another host.
 * @return The batch; kUnimplemented when this build does not support the record version, and another error when the
 * bytes are malformed or exceed `maxBatchBytes`.
 */
absl::StatusOr<Batch> decodeBatch(std::string_view bytes);

/**
 * Encodes the replicated tables for a snapshot: the snapshot version, then the compressed tables without
 * Tables::lookups.
 */
std::string encodeTables(const Tables &tables);

/**
 * Decodes the replicated tables and rebuilds Tables::lookups, the indexes that are derived from the rows.
 * @param bytes Output of encodeTables(), from this or another host.
 * @return The tables; an error when the bytes are malformed or their content exceeds `maxTablesBytes`, or when this
 * build does not support the version of the snapshot.
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

/** Encodes a heartbeat and its version, without an authentication code; signMessage() adds the code. */
std::string encodeHeartbeat(const Heartbeat &heartbeat);

/**
 * Decodes a heartbeat.
 * @param bytes Output of encodeHeartbeat(), after verifyMessage() has removed the authentication code.
 * @return The heartbeat; an error when the bytes are malformed or more than 1024 in number, or when this build does not
 * support the version of the heartbeat.
 */
absl::StatusOr<Heartbeat> decodeHeartbeat(std::string_view bytes);

} // namespace flamingotally
