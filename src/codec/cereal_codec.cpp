#include "codec/cereal_codec.h"

#include "codec/cereal_func.h"
#include "codec/compression.h"
#include "command_func.h"

namespace flamingotally
{

namespace
{

constexpr std::uint8_t heartbeatVersion = 1;
constexpr std::uint32_t snapshotVersion = 1;
constexpr std::size_t maxHeartbeatBytes = 1'024; ///< Size limit of an encoded heartbeat.

absl::Status malformed(Step step, std::string_view what)
{
    return makeError(absl::StatusCode::kInvalidArgument, step, "", what);
}

/**
 * Decodes a 32-bit version and the compressed value that follows the version.
 * @param newestVersion Newest version that this build supports.
 * @param maxBytes Size limit of the decompressed value.
 * @param step Step that an error names.
 */
template<typename T>
absl::StatusOr<T> decodeCompressed(std::string_view bytes, std::uint32_t newestVersion, std::size_t maxBytes, Step step)
{
    if (const auto status = checkVersion(bytes, newestVersion, step); !status.ok()) {
        return status;
    }
    const auto body = decompressBytes(bytes.substr(versionBytes<std::uint32_t>), maxBytes);
    if (!body.ok()) {
        return body.status();
    }
    return decodeValue<T>(*body, step);
}

} // namespace

/** Serializes the fields of a batch except the record version, which encodeBatch() writes uncompressed before them. */
template<typename Archive>
void serialize(Archive &archive, Batch &batch)
{
    archive(batch.daemon, batch.incarnation, batch.sequence, batch.commands);
}

std::string encodeBatch(const Batch &batch)
{
    return encodeValue(batch.recordVersion) + compressBytes(encodeValue(batch));
}

absl::StatusOr<Batch> decodeBatch(std::string_view bytes)
{
    if (bytes.size() > maxBatchBytes) {
        return malformed(Step::ReadLog, "encoded batch is too large");
    }
    return decodeCompressed<Batch>(bytes, limits::recordVersion, maxBatchBytes, Step::ReadLog);
}

std::string encodeTables(const Tables &tables)
{
    return encodeValue(snapshotVersion) + compressBytes(encodeValue(tables));
}

absl::StatusOr<Tables> decodeTables(std::string_view bytes)
{
    auto tables = decodeCompressed<Tables>(bytes, snapshotVersion, maxTablesBytes, Step::LoadSnapshot);
    if (tables.ok()) {
        rebuildLookups(*tables);
    }
    return tables;
}

std::string encodeHeartbeat(const Heartbeat &heartbeat)
{
    return encodeValue(heartbeatVersion) + encodeValue(heartbeat);
}

absl::StatusOr<Heartbeat> decodeHeartbeat(std::string_view bytes)
{
    if (bytes.size() > maxHeartbeatBytes) {
        return malformed(Step::Heartbeat, "encoded heartbeat is too large");
    }
    return decodeVersioned<Heartbeat>(bytes, heartbeatVersion, Step::Heartbeat);
}

} // namespace flamingotally
