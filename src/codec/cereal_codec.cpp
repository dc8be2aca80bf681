#include "codec/cereal_codec.h"

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

/**
 * Decodes a version and, when it is supported, a value. cereal throws on short or wrong input; that ends here.
 */
template<typename T, typename Version>
absl::StatusOr<T> decodeVersioned(std::string_view bytes, Version newest, Step step)
{
    std::istringstream stream{std::string(bytes)};
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        Version version{};
        archive(version);
        if (version == 0 || version > newest) {
            return makeError(absl::StatusCode::kUnimplemented, step, "", "version is not supported");
        }
        T value;
        archive(value);
        if (stream.peek() != std::istringstream::traits_type::eof()) {
            return malformed(step, "bytes left over");
        }
        return value;
    } catch (const std::exception &exception) {
        return malformed(step, exception.what());
    }
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
    return encode(batch.recordVersion, batch);
}

absl::StatusOr<Batch> decodeBatch(std::string_view bytes)
{
    if (bytes.size() > maxBatchBytes) {
        return malformed(Step::ReadLog, "batch is too large");
    }
    return decodeVersioned<Batch>(bytes, limits::recordVersion, Step::ReadLog);
}

std::string encodeTables(const Tables &tables)
{
    return encode(snapshotVersion, tables);
}

absl::StatusOr<Tables> decodeTables(std::string_view bytes)
{
    auto tables = decodeVersioned<Tables>(bytes, snapshotVersion, Step::LoadSnapshot);
    if (tables.ok()) {
        rebuildLookups(*tables);
    }
    return tables;
}

std::string encodeHeartbeat(const Heartbeat &heartbeat)
{
    return encode(heartbeatVersion, heartbeat);
}

absl::StatusOr<Heartbeat> decodeHeartbeat(std::string_view bytes)
{
    if (bytes.size() > maxHeartbeatBytes) {
        return malformed(Step::Heartbeat, "heartbeat is too large");
    }
    return decodeVersioned<Heartbeat>(bytes, heartbeatVersion, Step::Heartbeat);
}

} // namespace flamingotally
