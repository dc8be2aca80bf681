#include "codec/cereal_codec.h"

#include "codec/compression.h"
#include "command_func.h"
#include "core/error.h"
#include "core/fields.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/tuple.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>

namespace flamingotally
{

/** Lets cereal walk any type that names its fields. */
template<typename Archive, HasFields T>
void serialize(Archive &archive, T &value)
{
    value.fields([&archive](auto &...values) { archive(values...); });
}

namespace
{

constexpr std::uint8_t heartbeatVersion = 1;
constexpr std::uint32_t snapshotVersion = 1;
constexpr std::size_t maxHeartbeatBytes = 1'024;

template<typename... Values>
std::string encode(const Values &...values)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(values...);
    }
    return std::move(stream).str();
}

absl::Status malformed(Step step, std::string_view what)
{
    return makeError(absl::StatusCode::kInvalidArgument, step, "", what);
}

/** Decodes one value that takes all the bytes. cereal throws on short or wrong input; that ends here. */
template<typename T>
absl::StatusOr<T> decode(std::string_view bytes, Step step)
{
    std::istringstream stream{std::string(bytes)};
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        T value{};
        archive(value);
        if (stream.peek() != std::istringstream::traits_type::eof()) {
            return malformed(step, "bytes left over");
        }
        return value;
    } catch (const std::exception &exception) {
        return malformed(step, exception.what());
    }
}

/** Bytes that a version takes in front of a value. */
template<typename Version>
constexpr std::size_t versionBytes = sizeof(Version) + 1;

/** Reads the version in front of a value, and judges whether this build knows it. */
template<typename Version>
absl::Status testVersion(std::string_view bytes, Version newest, Step step)
{
    const auto version = decode<Version>(bytes.substr(0, versionBytes<Version>), step);
    if (!version.ok()) {
        return version.status();
    }
    if (*version == 0 || *version > newest) {
        return makeError(absl::StatusCode::kUnimplemented, step, "", "version is not supported");
    }
    return absl::OkStatus();
}

/** Decodes a version and the compressed value behind it. */
template<typename T>
absl::StatusOr<T> decodeCompressed(std::string_view bytes, std::uint32_t newest, std::size_t maxBytes, Step step)
{
    if (const auto status = testVersion(bytes, newest, step); !status.ok()) {
        return status;
    }
    const auto body = decompressBytes(bytes.substr(versionBytes<std::uint32_t>), maxBytes);
    if (!body.ok()) {
        return body.status();
    }
    return decode<T>(*body, step);
}

} // namespace

/** Writes the fields of a batch that follow its version. */
template<typename Archive>
void serialize(Archive &archive, Batch &batch)
{
    archive(batch.daemon, batch.incarnation, batch.sequence, batch.commands);
}

std::string encodeBatch(const Batch &batch)
{
    return encode(batch.recordVersion) + compressBytes(encode(batch));
}

absl::StatusOr<Batch> decodeBatch(std::string_view bytes)
{
    if (bytes.size() > maxBatchBytes) {
        return malformed(Step::ReadLog, "batch is too large");
    }
    return decodeCompressed<Batch>(bytes, limits::recordVersion, maxBatchBytes, Step::ReadLog);
}

std::string encodeTables(const Tables &tables)
{
    return encode(snapshotVersion) + compressBytes(encode(tables));
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
    return encode(heartbeatVersion) + encode(heartbeat);
}

absl::StatusOr<Heartbeat> decodeHeartbeat(std::string_view bytes)
{
    if (bytes.size() > maxHeartbeatBytes) {
        return malformed(Step::Heartbeat, "heartbeat is too large");
    }
    if (const auto status = testVersion(bytes, heartbeatVersion, Step::Heartbeat); !status.ok()) {
        return status;
    }
    return decode<Heartbeat>(bytes.substr(versionBytes<std::uint8_t>), Step::Heartbeat);
}

} // namespace flamingotally
