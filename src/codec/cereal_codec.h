/** @file cereal_codec.h Encodes typed messages with cereal: batches for the log, snapshots, heartbeats. */
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

/** Largest encoded batch that is decoded. */
constexpr std::size_t maxBatchBytes = 1024 * 1024;

/** Largest tables that are decoded, before compression. */
constexpr std::size_t maxTablesBytes = 512 * 1024 * 1024;

/** Encodes a batch. Its record version comes first, so that any build can read that much. */
std::string encodeBatch(const Batch &batch);

/**
 * Decodes a batch.
 * @param bytes What encodeBatch() wrote, from this or another host.
 * @return The batch; an error when the bytes are malformed, too large or of a newer version.
 */
absl::StatusOr<Batch> decodeBatch(std::string_view bytes);

/** Encodes the replicated tables. */
std::string encodeTables(const Tables &tables);

/** Decodes the replicated tables and makes their lookups. */
absl::StatusOr<Tables> decodeTables(std::string_view bytes);

/** The `SnapshotCodec` of the daemons. */
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

/** Encodes a heartbeat, without its authentication. */
std::string encodeHeartbeat(const Heartbeat &heartbeat);

/** Decodes a heartbeat. */
absl::StatusOr<Heartbeat> decodeHeartbeat(std::string_view bytes);

} // namespace flamingotally
